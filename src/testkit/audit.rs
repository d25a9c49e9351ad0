//! Collects the audit records of several managers over their admin endpoints.
use super::{clients, pause};
use crate::audit::report::{NodeReport, ObservedMember};
use crate::audit::{PageEnd, RecordPosition};
use futures_lite::future::or;
use std::net::SocketAddr;
use thiserror::Error;

/// The maximum number of pages that are read from one manager: records that it writes in the
/// meantime must not keep the collection from ending.
const MAX_PAGES: usize = 10_000;
/// Timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Why a manager's data could not be collected.
#[derive(Debug, Error)]
enum GatherError {
    #[error("GET {path}: no response in time")]
    Timeout { path: String },
    #[error("GET {path}: no response")]
    NoResponse { path: String },
    #[error("GET {path}: {status}: {}", body.trim())]
    Status {
        path: String,
        status: u16,
        body: String,
    },
    #[error("GET {path}: {source}")]
    Malformed {
        path: &'static str,
        source: serde_json::Error,
    },
    #[error("GET /audit: a page without its last line")]
    PageEnd,
}

async fn get(addr: SocketAddr, path: String) -> Result<String, GatherError> {
    let timeout = async {
        pause(CALL_TIMEOUT_MS).await;
        let path = path.clone();
        Err(GatherError::Timeout { path })
    };
    let call = async {
        let response = clients::call_admin(addr, "GET", &path).await;
        let path = path.clone();
        match response {
            Some((200, body)) => Ok(body),
            Some((status, body)) => Err(GatherError::Status { path, status, body }),
            None => Err(GatherError::NoResponse { path }),
        }
    };
    or(call, timeout).await
}

/// Adds the manager's view of the fleet to its report.
async fn gather_fleet(addr: SocketAddr, node: &mut NodeReport) -> Result<(), GatherError> {
    let body = get(addr, "/fleet".into()).await?;
    for line in body.lines() {
        match serde_json::from_str::<ObservedMember>(line) {
            Ok(member) => node.fleet.push(member),
            Err(source) => note_malformed(node, "/fleet", source),
        }
    }
    Ok(())
}

/// Adds the manager's records after a position to its report.
async fn gather_records(
    addr: SocketAddr,
    after: RecordPosition,
    node: &mut NodeReport,
) -> Result<(), GatherError> {
    let mut next = after.to_string();
    for _ in 0..MAX_PAGES {
        let body = get(addr, format!("/audit?since={next}")).await?;
        let end = add_page(&body, node)?;
        if !end.has_more {
            break;
        }
        next = end.next;
    }
    Ok(())
}

fn add_page(body: &str, node: &mut NodeReport) -> Result<PageEnd, GatherError> {
    let mut lines: Vec<&str> = body.lines().collect();
    let end = lines.pop().and_then(|end| serde_json::from_str(end).ok());
    let end: PageEnd = end.ok_or(GatherError::PageEnd)?;
    for line in lines {
        match serde_json::from_str(line) {
            Ok(record) => node.records.push(record),
            Err(source) => note_malformed(node, "/audit", source),
        }
    }
    node.damaged_frames = node.damaged_frames.max(end.damaged_frames);
    Ok(end)
}

fn note_malformed(node: &mut NodeReport, path: &'static str, source: serde_json::Error) {
    let error = GatherError::Malformed { path, source };
    node.missing.push(error.to_string());
}

async fn gather_node(addr: SocketAddr, after: RecordPosition) -> NodeReport {
    let mut node = NodeReport {
        addr: addr.to_string(),
        ..NodeReport::default()
    };
    if let Err(error) = gather_fleet(addr, &mut node).await {
        node.missing.push(error.to_string());
    }
    if let Err(error) = gather_records(addr, after, &mut node).await {
        node.missing.push(error.to_string());
    }
    node
}

/// Collects the views of the managers at these addresses, and their records after a position.
pub async fn gather(addrs: &[SocketAddr], after: RecordPosition) -> Vec<NodeReport> {
    let mut nodes = Vec::new();
    for addr in addrs {
        nodes.push(gather_node(*addr, after).await);
    }
    nodes
}
