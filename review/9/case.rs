//! Two processes of an upgrade that are both asked to stop, the older one first, while requests run.
#[path = "../common-2.rs"]
mod common;

use common::{
    Coordinator, Engine, Listed, Plan, Received, Rpc, at_ms, await_ready, begin, config,
    free_address, known, note, pause, rows_of, settings, start_manager, trouble, verdict,
    write_file,
};

/// How long the long requests run: shorter than the time that a stopping process has.
const RUN_MS: u64 = 3_000;
/// The time between the two requests to stop.
const BETWEEN_MS: u64 = 700;
/// The wait of the long requests.
const WAIT_MS: u64 = 12_000;
/// The time limit of a final answer after its wait, beyond which the request counts as lost.
const LOST_AFTER_MS: u64 = 550;

fn main() {
    begin("case-9");
    let engines: Vec<Engine> = ["engine-1", "engine-2"]
        .into_iter()
        .map(|name| {
            Engine::start(name, |request| Plan::Rows {
                after_ms: if request.fields.contains("cls=lookup") {
                    20
                } else {
                    RUN_MS
                },
                rows: rows_of(&request.statement, 3),
            })
        })
        .collect();
    let list: Vec<Listed> = (1..)
        .zip(&engines)
        .map(|(id, engine)| Listed {
            id,
            addr: engine.addr,
            state: "in_service",
            started_ms: 0,
        })
        .collect();
    let coordinator = Coordinator::start();
    let (clients, older_console, newer_console) = (free_address(), free_address(), free_address());
    let config = write_file(
        "config.json",
        &config(
            "n0",
            clients,
            coordinator.addr,
            &known(&list),
            &settings("side_effect", false, 0, 1),
        ),
    );
    let older = start_manager("older", &config, "state", Some(older_console), &[], "");
    older.note_end();
    await_ready(older_console);
    let mut client = Rpc::connect("client", clients);
    client.send(1, "lookup", 5_000, "SELECT 1 FROM sales_1.orders");
    assert!(matches!(client.receive(5_000), Received::Line(_)));
    let newer = start_manager("newer", &config, "state", Some(newer_console), &[], "");
    newer.note_end();
    await_ready(newer_console);
    client.send(2, "load", WAIT_MS, "INSERT INTO sales_2.orders SELECT 2");
    client.send(3, "load", WAIT_MS, "INSERT INTO sales_3.orders SELECT 3");
    let sent_ms = at_ms();
    pause(300);
    older.signal("TERM");
    pause(BETWEEN_MS);
    if trouble() {
        newer.signal("TERM");
    }
    let mut open = vec![2u64, 3];
    let mut broken = Vec::new();
    while !open.is_empty() {
        let left_ms = (sent_ms + WAIT_MS + LOST_AFTER_MS).saturating_sub(at_ms());
        match client.receive(left_ms) {
            Received::Line(line) => {
                open.retain(|number| !line.contains(&format!("\"id\":{number},")));
            }
            ended => {
                for number in &open {
                    broken.push(format!("request {number} got no final answer: {ended:?}"));
                }
                break;
            }
        }
    }
    // What the engines do with the requests afterwards belongs to the record.
    pause(1_500);
    note(&format!(
        "older: {:?}, newer: {:?}",
        older.ended(),
        newer.ended()
    ));
    verdict(&broken);
}
