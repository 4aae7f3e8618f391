//! Where a listing continues after a page.

use errors::{Code, Error, Result};
use platform::store::Page;

/// The position of a listing, which only moves forward.
#[derive(Debug, Default)]
pub struct Cursor {
    /// The key at which the next page starts, encoded for a query. Empty for the first key.
    start: String,
    last_key: Option<String>,
    needs_whole_page: bool,
}

impl Cursor {
    /// The key at which the next page starts, encoded for a query. Empty for the first key.
    pub fn start(&self) -> &str {
        &self.start
    }

    /// Whether the next page must have as many rows as the store allows, because a smaller one had no key to continue
    /// from.
    pub fn needs_whole_page(&self) -> bool {
        self.needs_whole_page
    }

    /// Moves behind a page. Returns whether there are more rows. A page from which the listing can't move forward is
    /// requested once more with the most rows; after that it is an error.
    pub fn advance(&mut self, page: &Page) -> Result<bool> {
        if !page.has_more {
            return Ok(false);
        }
        let next = page.next_key.clone().filter(|_| page.last_key > self.last_key);
        if let Some(next) = next {
            *self = Self { start: next, last_key: page.last_key.clone(), needs_whole_page: false };
            return Ok(true);
        }
        if self.needs_whole_page {
            let detail = "a page has more rows after it, but no key to continue from";
            return Err(Error::new(Code::PlatformRefused, detail));
        }
        self.needs_whole_page = true;
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
