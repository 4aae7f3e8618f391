//! The text that an engine stand-in generates. It is determined by the weights and the prompt, so that a test can
//! distinguish a complete answer of one version from one that is truncated, belongs to another prompt, or mixes
//! versions.

/// Number of hexadecimal digits of a digest in a token.
const TOKEN_DIGITS: usize = 6;

/// Returns the token at a position of the answer to a prompt.
pub fn token_text(weights_digest: &str, prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(weights_digest.as_bytes());
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_le_bytes());
    format!("{} ", &hasher.finalize().to_hex()[..TOKEN_DIGITS])
}

/// Returns the complete answer to a prompt.
pub fn answer_text(weights_digest: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(weights_digest, prompt, index)).collect()
}
