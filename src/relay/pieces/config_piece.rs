//! One piece of a configuration, and its encoding.
//!
//! Content is one byte for its kind, then the names of a branch or the JSON list of a leaf. Its hash is the piece's name.
//! Pieces are kept and sent compressed by deflate: the JSON of routes shrinks to a sixth.

use {
    super::piece_name::{NAME_BYTES, PieceName},
    crate::{
        account::ClientAccount,
        relay::config::{RelayRoute, RelayService},
    },
    bytes::Bytes,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    serde::de::DeserializeOwned,
    std::{
        fmt,
        io::{Read, Write},
        rc::Rc,
    },
};

/// Largest content of a piece in bytes. A leaf of one item can be as large as the item.
const CONTENT_BYTES_MAX: u64 = 4 << 20;

/// Kinds of content.
const BRANCH: u8 = 0;
const ROUTES: u8 = 1;
const SERVICES: u8 = 2;
const ACCOUNTS: u8 = 3;

/// Content of a piece.
#[derive(Debug, Clone, PartialEq)]
pub enum PieceContent {
    /// Names of further pieces, in the order of the list.
    Branch(Vec<PieceName>),
    /// Consecutive routes.
    Routes(Vec<Rc<RelayRoute>>),
    /// Consecutive services.
    Services(Vec<RelayService>),
    /// Consecutive client accounts.
    Accounts(Vec<ClientAccount>),
}

impl PieceContent {
    /// The first byte of the encoded content.
    pub fn kind(&self) -> u8 {
        match self {
            Self::Branch(_) => BRANCH,
            Self::Routes(_) => ROUTES,
            Self::Services(_) => SERVICES,
            Self::Accounts(_) => ACCOUNTS,
        }
    }
}

/// A piece with its compressed form.
#[derive(Debug)]
pub struct ConfigPiece {
    /// What it holds.
    pub content: PieceContent,
    /// The compressed form.
    pub compressed: Bytes,
    /// The version of the configuration with which the host got it.
    pub since_version: u64,
}

/// Why a piece, or a tree of pieces, cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceError {
    /// The bytes cannot be decompressed, or are too many.
    Compression(String),
    /// The content cannot be read.
    Content(String),
    /// A list contains a piece of another kind.
    Kind(PieceName),
    /// A piece of the list is missing.
    Missing(PieceName),
}

impl fmt::Display for PieceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compression(text) => write!(f, "not decompressed: {text}"),
            Self::Content(text) => write!(f, "not read: {text}"),
            Self::Kind(name) => write!(f, "piece {name} does not belong into its list"),
            Self::Missing(name) => write!(f, "piece {name} is missing"),
        }
    }
}

impl std::error::Error for PieceError {}

/// Compresses the encoded content of a piece.
pub fn compress(encoded: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(encoded);
    let compressed = written.and_then(|()| encoder.finish());
    compressed.expect("writing to memory").into()
}

/// Reads a compressed piece of a version, and gives its name.
pub fn read_piece(compressed: Bytes, version: u64) -> Result<(PieceName, ConfigPiece), PieceError> {
    let mut encoded = Vec::new();
    let mut decoder = DeflateDecoder::new(&compressed[..]).take(CONTENT_BYTES_MAX + 1);
    let reading = decoder.read_to_end(&mut encoded);
    reading.map_err(|error| PieceError::Compression(error.to_string()))?;
    if encoded.len() as u64 > CONTENT_BYTES_MAX {
        return Err(PieceError::Compression("too large".into()));
    }
    let content = decode(&encoded)?;
    let piece = ConfigPiece {
        content,
        compressed,
        since_version: version,
    };
    Ok((PieceName::of(&encoded), piece))
}

fn decode(encoded: &[u8]) -> Result<PieceContent, PieceError> {
    let Some((kind, body)) = encoded.split_first() else {
        return Err(PieceError::Content("it is empty".into()));
    };
    match *kind {
        BRANCH => decode_names(body).map(PieceContent::Branch),
        ROUTES => decode_items(body).map(PieceContent::Routes),
        SERVICES => decode_items(body).map(PieceContent::Services),
        ACCOUNTS => decode_items(body).map(PieceContent::Accounts),
        kind => Err(PieceError::Content(format!("unknown kind {kind}"))),
    }
}

fn decode_names(body: &[u8]) -> Result<Vec<PieceName>, PieceError> {
    let (names, rest) = body.as_chunks::<NAME_BYTES>();
    if !rest.is_empty() {
        return Err(PieceError::Content("half a name".into()));
    }
    let names = names.iter().copied().map(PieceName::from_bytes);
    Ok(names.collect())
}

fn decode_items<T: DeserializeOwned>(body: &[u8]) -> Result<Vec<T>, PieceError> {
    serde_json::from_slice(body).map_err(|error| PieceError::Content(error.to_string()))
}
