//! Completion requests and responses in the format of the OpenAI API.

use {
    crate::operation::{Refusal, RefusalCode},
    faststr::FastStr,
    serde::Deserialize,
    serde_json::{Value, json},
};

/// Maximum number of generated tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Placeholder for the token text while a chunk template is built.
const TEXT_PLACEHOLDER: &str = "bayplank-token-text";

/// Largest `max_tokens` that a request may set.
const MAX_TOKENS_LIMIT: u32 = 32_768;

/// The endpoint that a completion request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CompletionStyle {
    /// `/v1/completions`
    Text,
    /// `/v1/chat/completions`
    Chat,
}

/// A parsed and validated completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionCall {
    /// The endpoint.
    pub style: CompletionStyle,
    /// The model.
    pub model: FastStr,
    /// The prompt; chat messages are joined into one text.
    pub prompt: FastStr,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
}

#[derive(Deserialize)]
struct RawCompletion {
    model: FastStr,
    #[serde(default)]
    prompt: Option<RawPrompt>,
    #[serde(default)]
    messages: Option<Vec<RawMessage>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawPrompt {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct RawMessage {
    role: String,
    #[serde(default)]
    content: Option<RawContent>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawContent {
    Text(String),
    Parts(Vec<RawPart>),
}

#[derive(Deserialize)]
struct RawPart {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: Option<String>,
}

impl CompletionCall {
    /// Parses a request body; an error message names the invalid field.
    pub fn read(style: CompletionStyle, body: &[u8]) -> Result<Self, Refusal> {
        let raw: RawCompletion =
            serde_json::from_slice(body).map_err(|error| invalid(format!("body: {error}")))?;
        if raw.n.is_some_and(|n| n != 1) {
            return Err(invalid("n: only 1 is supported".into()));
        }
        let max_tokens = raw
            .max_completion_tokens
            .or(raw.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
            let text = format!("max_tokens: expected 1 to {MAX_TOKENS_LIMIT}, found {max_tokens}");
            return Err(invalid(text));
        }
        let prompt = match style {
            CompletionStyle::Text => read_prompt(raw.prompt)?,
            CompletionStyle::Chat => read_messages(raw.messages)?,
        };
        if prompt.is_empty() {
            return Err(invalid("prompt: is empty".into()));
        }
        Ok(Self {
            style,
            model: raw.model,
            prompt: FastStr::from_string(prompt),
            max_tokens,
            stream: raw.stream.unwrap_or(false),
        })
    }

    /// The JSON before and after the token text in each chunk of a streamed response, built once
    /// per response rather than for every token.
    pub fn token_chunk_template(&self, id: &str) -> (String, String) {
        let chunk = match self.style {
            CompletionStyle::Text => self.chunk(
                id,
                json!({"index": 0, "text": TEXT_PLACEHOLDER, "finish_reason": null, "logprobs": null}),
            ),
            CompletionStyle::Chat => {
                let delta = json!({"role": "assistant", "content": TEXT_PLACEHOLDER});
                self.chunk(
                    id,
                    json!({"index": 0, "delta": delta, "finish_reason": null}),
                )
            }
        };
        let text = chunk.to_string();
        let placeholder = format!("\"{TEXT_PLACEHOLDER}\"");
        let (before, after) = text
            .split_once(&placeholder)
            .expect("the placeholder is in the chunk");
        (before.to_owned(), after.to_owned())
    }

    /// The final chunk of a streamed response.
    pub fn end_chunk(&self, id: &str, reason: &str) -> Value {
        match self.style {
            CompletionStyle::Text => self.chunk(
                id,
                json!({"index": 0, "text": "", "finish_reason": reason, "logprobs": null}),
            ),
            CompletionStyle::Chat => self.chunk(
                id,
                json!({"index": 0, "delta": {}, "finish_reason": reason}),
            ),
        }
    }

    /// The body of a response that is not streamed.
    pub fn full_body(&self, id: &str, text: &str, reason: &str, tokens: u32) -> Value {
        let prompt_tokens = crate::engine::estimate_tokens(&self.prompt);
        let choice = match self.style {
            CompletionStyle::Text => {
                json!({"index": 0, "text": text, "finish_reason": reason, "logprobs": null})
            }
            CompletionStyle::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": reason,
            }),
        };
        let object = match self.style {
            CompletionStyle::Text => "text_completion",
            CompletionStyle::Chat => "chat.completion",
        };
        json!({
            "id": id,
            "object": object,
            "created": unix_seconds(),
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": prompt_tokens + u64::from(tokens),
            },
        })
    }

    fn chunk(&self, id: &str, choice: Value) -> Value {
        let object = match self.style {
            CompletionStyle::Text => "text_completion",
            CompletionStyle::Chat => "chat.completion.chunk",
        };
        json!({
            "id": id,
            "object": object,
            "created": unix_seconds(),
            "model": self.model,
            "choices": [choice],
        })
    }
}

/// The error body that clients of the OpenAI API expect, extended with the verdict.
pub fn error_body(refusal: &Refusal) -> Value {
    let kind = match refusal.code.status() {
        400..=428 => "invalid_request_error",
        429 => "rate_limit_error",
        _ => "server_error",
    };
    json!({
        "error": {
            "message": refusal.message,
            "type": kind,
            "param": null,
            "code": refusal.code,
            "verdict": refusal.verdict,
        }
    })
}

fn unix_seconds() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |time| time.as_secs())
}

fn invalid(text: String) -> Refusal {
    Refusal::not_run(RefusalCode::InvalidRequest, text)
}

fn read_prompt(prompt: Option<RawPrompt>) -> Result<String, Refusal> {
    match prompt {
        Some(RawPrompt::One(text)) => Ok(text),
        Some(RawPrompt::Many(mut texts)) if texts.len() == 1 => Ok(texts.remove(0)),
        Some(RawPrompt::Many(_)) => Err(invalid("prompt: expected one text".into())),
        None => Err(invalid("prompt: is missing".into())),
    }
}

fn read_messages(messages: Option<Vec<RawMessage>>) -> Result<String, Refusal> {
    let messages = messages.ok_or_else(|| invalid("messages: is missing".into()))?;
    let mut prompt = String::new();
    for (index, message) in messages.into_iter().enumerate() {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match message.content {
            Some(RawContent::Text(text)) => prompt.push_str(&text),
            Some(RawContent::Parts(parts)) => {
                for part in parts {
                    match (part.kind.as_str(), part.text) {
                        ("text", Some(text)) => prompt.push_str(&text),
                        (kind, _) => {
                            let text = format!(
                                "messages[{index}].content: {kind:?} parts are not supported"
                            );
                            return Err(invalid(text));
                        }
                    }
                }
            }
            None => {}
        }
        prompt.push('\n');
    }
    Ok(prompt)
}
