//! The response to one attempt, gathered from its pages.
use crate::clock::{MS, Micros};
use crate::dispatcher::Cost;
use crate::policy::api::{LoadReport, RequestId};

/// Most pages of a response; one that announces more is treated as failed.
pub(super) const MAX_PAGES: usize = 64;
/// Most bytes of rows of a response; one with more is treated as failed.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// All pages must have come this long after the first, so that a response that stops short ends
/// without harm to the others on its connection.
const PAGES_TIMEOUT_MICROS: Micros = 1_500 * MS;

/// What a page did to its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageStatus {
    /// Further pages are missing.
    Incomplete,
    /// All pages have come.
    Complete,
    /// The response exceeds the accepted size.
    TooLarge,
}

/// The response to an attempt that was started.
pub(super) struct PendingResponse {
    pub(super) id: RequestId,
    /// The pages by number; empty until the first page tells how many there are.
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

    /// Whether the first page has come: the query does not run any more.
    pub(super) fn has_begun(&self) -> bool {
        !self.pages.is_empty()
    }

    /// Whether the response has more than one page, which the engine keeps until it is told to
    /// forget them.
    pub(super) fn has_several_pages(&self) -> bool {
        self.pages.len() > 1
    }

    /// Stores the first page and the number of all pages, at least 1.
    pub(super) fn begin(&mut self, now: Micros, page_count: usize, first_page: &[u8]) {
        self.first_page_at = now;
        self.pages.resize(page_count, None);
        self.pages[0] = Some(first_page.to_vec());
    }

    /// Stores a further page. A duplicate, or a page outside the announced range, is ignored.
    pub(super) fn store_page(&mut self, number: usize, page: &[u8]) {
        if let Some(missing @ None) = self.pages.get_mut(number) {
            *missing = Some(page.to_vec());
        }
    }

    pub(super) fn status(&self) -> PageStatus {
        let gathered: usize = self.pages.iter().flatten().map(Vec::len).sum();
        if gathered > MAX_RESPONSE_BYTES {
            PageStatus::TooLarge
        } else if self.has_begun() && self.pages.iter().all(Option::is_some) {
            PageStatus::Complete
        } else {
            PageStatus::Incomplete
        }
    }

    /// When all pages must have come, once the first has.
    pub(super) fn pages_due_at(&self) -> Option<Micros> {
        self.has_begun()
            .then_some(self.first_page_at + PAGES_TIMEOUT_MICROS)
    }

    /// The rows of all pages in order.
    pub(super) fn into_rows(self) -> Vec<u8> {
        self.pages.into_iter().flatten().flatten().collect()
    }
}
