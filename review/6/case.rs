//! A load over the ClickHouse interface whose statement begins with a comment, at engines that
//! answer with an error after it has started.
#[path = "../common-2.rs"]
mod common;

use common::{
    Coordinator, HttpEngine, HttpPlan, await_ready, begin, clickhouse_file, config, free_address,
    http, http_query, known, note, settings, shortened, start_manager, trouble, verdict,
    write_file,
};

/// The statements; each is an INSERT, which must not run twice.
const LOADS: [&str; 3] = [
    "INSERT INTO sales_2.payments SELECT 1 FROM staging.payments",
    "-- nightly load of the payments\nINSERT INTO sales_3.payments SELECT 1 FROM staging.payments",
    "# nightly load of the payments\nINSERT INTO sales_4.payments SELECT 1 FROM staging.payments",
];

fn main() {
    begin("case-6");
    let engines: Vec<HttpEngine> = ["engine-1", "engine-2"]
        .into_iter()
        .map(|name| {
            HttpEngine::start(name, |_, _| {
                if trouble() {
                    HttpPlan::Error { after_ms: 300 }
                } else {
                    HttpPlan::Rows {
                        after_ms: 300,
                        rows: String::new(),
                    }
                }
            })
        })
        .collect();
    let coordinator = Coordinator::start();
    let (clients, front, console) = (free_address(), free_address(), free_address());
    let config = write_file(
        "config.json",
        &config(
            "n0",
            clients,
            coordinator.addr,
            &known(&[]),
            &settings("side_effect", false, 0, 1),
        ),
    );
    let addresses: Vec<_> = (1..)
        .zip(&engines)
        .map(|(id, engine)| (id, engine.addr))
        .collect();
    let deploy = write_file("clickhouse.toml", &clickhouse_file(front, &addresses, ""));
    let manager = start_manager(
        "manager",
        &config,
        "state",
        Some(console),
        &[],
        &deploy.display().to_string(),
    );
    await_ready(console);
    let mut broken = Vec::new();
    for statement in LOADS {
        note(&format!("client: sends {statement:?}"));
        let response = http(
            front,
            &http_query("max_execution_time=20", statement),
            25_000,
        );
        let status = response.as_ref().map(|response| response.status);
        note(&format!(
            "client: receives {status:?} {}",
            shortened(&response.map_or(String::new(), |response| response.body))
        ));
        let starts: usize = engines
            .iter()
            .map(|engine| {
                let started = engine.started();
                started.iter().filter(|found| *found == statement).count()
            })
            .sum();
        note(&format!("engines: started it {starts} times"));
        if starts > 1 {
            broken.push(format!("a load was started {starts} times: {statement:?}"));
        }
        if starts > 0 && status == Some(503) {
            broken.push(format!(
                "a load that was started was refused: {statement:?}"
            ));
        }
        if status.is_none() {
            broken.push(format!("a load got no answer: {statement:?}"));
        }
    }
    if let Some(end) = manager.ended() {
        broken.push(format!("the manager ended: {end}"));
    }
    verdict(&broken);
}
