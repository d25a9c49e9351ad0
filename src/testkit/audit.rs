//! Gathers the audit of several managers over their second addresses.
use super::{clients, pause};
use crate::audit::RecordPosition;
use crate::audit::report::{NodeReport, Seen};
use crate::audit::store::{Line, PageEnd};
use futures_lite::future::or;
use std::net::SocketAddr;

/// Pages of one manager at most: what is written meanwhile must not keep the gathering going for
/// ever.
const PAGES: usize = 10_000;
/// A manager that does not answer a call within this time is told as missing.
const PATIENCE_MS: u64 = 5_000;

async fn get(addr: SocketAddr, path: &str) -> Result<String, String> {
    let late = async {
        pause(PATIENCE_MS).await;
        Err("no answer in time".to_owned())
    };
    let call = async {
        match clients::call_admin(addr, "GET", path).await {
            Some((200, body)) => Ok(body),
            Some((status, body)) => Err(format!("{status}: {}", body.trim())),
            None => Err("no answer".into()),
        }
    };
    or(call, late)
        .await
        .map_err(|why| format!("GET {path}: {why}"))
}

async fn one(addr: SocketAddr, since: RecordPosition) -> NodeReport {
    let mut all = NodeReport {
        addr: addr.to_string(),
        ..NodeReport::default()
    };
    match get(addr, "/fleet").await {
        Ok(body) => {
            for line in body.lines() {
                match serde_json::from_str::<Seen>(line) {
                    Ok(seen) => all.fleet.push(seen),
                    Err(e) => all.missing.push(format!("GET /fleet: {e}")),
                }
            }
        }
        Err(why) => all.missing.push(why),
    }
    let mut since = since.to_string();
    for _ in 0..PAGES {
        let body = match get(addr, &format!("/audit?since={since}")).await {
            Ok(body) => body,
            Err(why) => {
                all.missing.push(why);
                break;
            }
        };
        let mut lines: Vec<&str> = body.lines().collect();
        let Some(end) = lines
            .pop()
            .and_then(|end| serde_json::from_str::<PageEnd>(end).ok())
        else {
            all.missing
                .push("GET /audit: a page without its end".into());
            break;
        };
        for line in lines {
            match serde_json::from_str::<Line>(line) {
                Ok(record) => all.records.push(record),
                Err(e) => all.missing.push(format!("GET /audit: {e}")),
            }
        }
        all.spoilt = all.spoilt.max(end.spoilt);
        since = end.next;
        if !end.more {
            break;
        }
    }
    all
}

/// What those managers answer: their views, and their records after that place.
pub async fn gather(addrs: &[SocketAddr], since: RecordPosition) -> Vec<NodeReport> {
    let mut all = Vec::new();
    for addr in addrs {
        all.push(one(*addr, since).await);
    }
    all
}
