//! The actors of the audit: the core's side, which never waits, and the thread that owns the files.
use super::Shared;
use crate::audit::store::{Page, Store};
use crate::audit::{
    ActiveConfiguration, AuditBuffer, Batch, Bounds, Decision, DecisionContext, DecisionKind,
    RecordPosition,
};
use crate::clock::{self, Micros};
use crate::log;
use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use futures_lite::future::or;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Batches and readings that wait for the files' thread.
const MAILBOX: usize = 64;
/// At its end the program waits this long for the last batch, and no longer.
const LAST_WORDS: Duration = Duration::from_millis(500);

/// What the files' thread is asked.
pub enum Job {
    /// Keep a batch.
    Keep(Batch),
    /// Read a page: after that place, so many records at most.
    Read(RecordPosition, usize, Sender<Result<Page, String>>),
}

/// The core's side of the audit.
pub struct AuditWriter {
    trail: AuditBuffer,
    jobs: Sender<Job>,
    /// Closed once the files' thread has ended.
    ended: Receiver<()>,
}

/// The environment names no folder for files that have to survive a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("fleet: the audit and the votes are kept in TMPDIR, which is not set")]
pub struct StateFolderUnset;

/// The folder of the audit's and the voter's files: `$TMPDIR`, which the operator has to set.
///
/// # Errors
/// If `TMPDIR` is empty or not set.
pub fn folder() -> Result<PathBuf, StateFolderUnset> {
    std::env::var_os("TMPDIR")
        .filter(|folder| !folder.is_empty())
        .map(PathBuf::from)
        .ok_or(StateFolderUnset)
}

/// A file in that [`folder`].
///
/// # Errors
/// If `TMPDIR` is empty or not set.
pub fn file(name: &str) -> Result<PathBuf, StateFolderUnset> {
    folder().map(|folder| folder.join(name))
}

/// Starts the files' thread, and hands out the core's side.
pub fn start(
    shared: &Rc<Shared>,
    under: DecisionContext,
    bounds: Bounds,
) -> Result<AuditWriter, String> {
    let folder = folder().map_err(|error| error.to_string())?;
    let store = Store::open(&folder, &under.member, bounds);
    let store =
        store.map_err(|e| format!("fleet: the audit's files in {}: {e}", folder.display()))?;
    let (jobs, work) = bounded(MAILBOX);
    let (done, ended) = bounded(1);
    let thread = std::thread::Builder::new().name("audit".into());
    let run = move || {
        keep(store, &work);
        drop(done);
    };
    thread
        .spawn(run)
        .map_err(|e| format!("fleet: the audit's thread: {e}"))?;
    *shared.audit_jobs.borrow_mut() = Some(jobs.clone());
    Ok(AuditWriter {
        trail: AuditBuffer::new(under),
        jobs,
        ended,
    })
}

/// The files' thread: until nobody can ask it for anything any more.
fn keep(mut store: Store, work: &Receiver<Job>) {
    while let Ok(job) = work.recv_blocking() {
        clock::turn();
        match job {
            Job::Keep(batch) => {
                if let Err(e) = store.append(batch) {
                    log!("the audit could not keep a batch: {e}");
                }
            }
            Job::Read(since, most, answer) => {
                let _ = answer.try_send(store.read(since, most).map_err(|e| e.to_string()));
            }
        }
    }
    if let Err(e) = store.settle() {
        log!("the audit could not tell what it lost: {e}");
    }
}

impl AuditWriter {
    /// When the core should come by, if anything waits.
    pub fn due(&self) -> Option<Micros> {
        self.trail.due()
    }

    /// The end of a turn of the core: what it decided on the way, under what its module acts on.
    pub fn turn(&mut self, now: Micros, decisions: &[Decision]) {
        decisions
            .iter()
            .for_each(|decision| self.trail.note(now, decision));
        if let Some(batch) = self.trail.flush(now) {
            self.send(batch);
        }
    }

    /// The module acts on this from now on.
    pub fn acts_on(&mut self, now: Micros, acting: ActiveConfiguration) {
        self.trail.acts_on(now, acting);
    }

    /// A duty came to this manager, or went from it.
    pub fn owns(&mut self, now: Micros, duty: &str, token: u64, owned: bool) {
        let what = if owned {
            DecisionKind::Own(token)
        } else {
            DecisionKind::Disown(token)
        };
        self.trail.note(
            now,
            &Decision {
                what,
                class: "".into(),
                request: duty.into(),
            },
        );
    }

    fn send(&mut self, batch: Batch) {
        if let Err(Job::Keep(batch)) = self
            .jobs
            .try_send(Job::Keep(batch))
            .map_err(|e| e.into_inner())
        {
            self.trail.gave_up(clock::now(), &batch);
            log!(
                "the audit's files are behind: {} records were given up",
                batch.records()
            );
        }
    }

    /// The program ends: the last batch, and a moment for the files.
    pub async fn finish(mut self) {
        if let Some(batch) = self.trail.finish() {
            self.send(batch);
        }
        self.jobs.close();
        let ended = async {
            let _ = self.ended.recv().await;
        };
        let late = async {
            Timer::after(LAST_WORDS).await;
        };
        or(ended, late).await;
    }
}

/// Reads a page for an operator. Waits for the files' thread, never for the core.
pub async fn read(
    shared: &Shared,
    since: RecordPosition,
    most: usize,
) -> Option<Result<Page, String>> {
    let jobs = shared.audit_jobs.borrow().clone()?;
    let (answer, page) = bounded(1);
    if jobs.try_send(Job::Read(since, most, answer)).is_err() {
        return Some(Err("the files are behind".into()));
    }
    let late = async {
        Timer::after(Duration::from_secs(1)).await;
        Err("the files take too long".into())
    };
    let page = async {
        page.recv()
            .await
            .unwrap_or_else(|_| Err("the program ends".into()))
    };
    Some(or(page, late).await)
}
