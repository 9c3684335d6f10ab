//! What a stand-in engine answers: a pure function of the prompt, so that tests can check it.

use {faststr::FastStr, xxhash_rust::xxh3};

const WORDS: [&str; 32] = [
    "sphere", "minus", "two", "axis", "ninety", "cylinder", "add", "plus", "one", "prism", "base",
    "frame", "stock", "lens", "index", "coated", "rider", "brake", "front", "wheel", "claim",
    "repair", "street", "left", "turn", "speed", "damage", "deck", "stem", "photo", "filed",
    "checked",
];

/// The token at `position` of the answer to a prompt with this hash.
pub fn token_at(seed: u64, position: u32) -> FastStr {
    let pick = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), seed);
    let word = WORDS[(pick % WORDS.len() as u64) as usize];
    if position == 0 {
        FastStr::from_static_str(word)
    } else {
        FastStr::from_string(format!(" {word}"))
    }
}

/// The hash of a prompt, from which its answer follows.
pub fn prompt_seed(prompt: &str) -> u64 {
    xxh3::xxh3_64(prompt.as_bytes())
}

/// Tokens in the answer to a prompt with this hash, within `range`.
pub fn answer_length(seed: u64, range: (u32, u32)) -> u32 {
    let (least, most) = range;
    least + (seed % u64::from(most - least + 1)) as u32
}

/// The whole answer to a prompt, for checks.
pub fn whole_answer(prompt: &str, range: (u32, u32), max_tokens: u32) -> String {
    let seed = prompt_seed(prompt);
    let length = answer_length(seed, range).min(max_tokens);
    (0..length)
        .map(|position| token_at(seed, position).to_string())
        .collect()
}
