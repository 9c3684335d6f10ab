//! How the end of a response body is marked.

use {
    http::{HeaderMap, HeaderValue, header},
    http_body::Body,
};

/// How a server marks the end of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length that the head names, or because the response has no body.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    Connection,
}

impl BodyFraming {
    /// The framing of a body whose head was just read.
    pub fn of(headers: &HeaderMap, content: &impl Body) -> Self {
        if content.size_hint().exact().is_some() {
            return Self::Length;
        }
        match headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back()
        {
            Some(codings) if ends_with_chunked(codings) => Self::Chunked,
            _ => Self::Connection,
        }
    }

    /// The value in log events and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}

fn ends_with_chunked(codings: &HeaderValue) -> bool {
    let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
