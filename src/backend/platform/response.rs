//! The response to one attempt, assembled from its pages.
use crate::clock::{MS, Micros};
use crate::dispatcher::Cost;
use crate::policy::api::{LoadReport, RequestId};

/// Limit on the number of pages; a response that announces more is treated as failed.
pub(super) const MAX_PAGES: usize = 64;
/// Limit on the size of all rows of a response, in bytes; a larger response is treated as failed.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// Time limit from the first page of a response to its last. A response that stays incomplete ends
/// then, without an effect on the others on its connection.
const PAGES_TIMEOUT_MICROS: Micros = 1_500 * MS;

/// The state of a response after a page was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageStatus {
    /// Further pages are missing.
    Incomplete,
    /// All pages have arrived.
    Complete,
    /// The response exceeds the size limit.
    TooLarge,
}

/// The response to an attempt that was started.
pub(super) struct PendingResponse {
    pub(super) id: RequestId,
    /// The pages by number; empty until the first page arrives, which states their number.
    pages: Vec<Option<Vec<u8>>>,
    first_page_at: Micros,
    pub(super) load: LoadReport,
    pub(super) cost: Cost,
}

impl PendingResponse {
    pub(super) fn new(id: RequestId) -> PendingResponse {
        PendingResponse {
            id,
            pages: Vec::new(),
            first_page_at: 0,
            load: LoadReport::default(),
            cost: Cost::default(),
        }
    }

    /// Whether the first page has arrived, which means that the query is no longer running.
    pub(super) fn has_first_page(&self) -> bool {
        !self.pages.is_empty()
    }

    /// Whether the response has more than one page. The engine keeps these until it receives a
    /// `forget` command.
    pub(super) fn has_several_pages(&self) -> bool {
        self.pages.len() > 1
    }

    /// Stores the first page and the total number of pages, at least 1.
    pub(super) fn store_first_page(&mut self, now: Micros, page_count: usize, first_page: &[u8]) {
        self.first_page_at = now;
        self.pages.resize(page_count, None);
        self.pages[0] = Some(first_page.to_vec());
    }

    /// Stores a page after the first. A duplicate, or a page outside the announced range, is
    /// ignored.
    pub(super) fn store_page(&mut self, number: usize, page: &[u8]) {
        if let Some(missing @ None) = self.pages.get_mut(number) {
            *missing = Some(page.to_vec());
        }
    }

    pub(super) fn status(&self) -> PageStatus {
        let received_bytes: usize = self.pages.iter().flatten().map(Vec::len).sum();
        if received_bytes > MAX_RESPONSE_BYTES {
            PageStatus::TooLarge
        } else if self.has_first_page() && self.pages.iter().all(Option::is_some) {
            PageStatus::Complete
        } else {
            PageStatus::Incomplete
        }
    }

    /// When all pages must have arrived; `None` before the first page.
    pub(super) fn pages_due_at(&self) -> Option<Micros> {
        self.has_first_page()
            .then_some(self.first_page_at + PAGES_TIMEOUT_MICROS)
    }

    /// The rows of all pages in order.
    pub(super) fn into_rows(self) -> Vec<u8> {
        self.pages.into_iter().flatten().flatten().collect()
    }
}
