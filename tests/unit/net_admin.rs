//! What the second address says of readiness.
use super::*;
use crate::lifecycle::SuccessorState;
use futures_lite::future::block_on;

fn ready(shared: &Shared) -> String {
    String::from_utf8(block_on(carry_out(shared, AdminRequest::Ready))).expect("text")
}

fn answer(status: &str, stage: &str) -> String {
    let head = format!("HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\n");
    format!(
        "{head}Content-Length: {}\r\nConnection: close\r\n\r\n{stage}\n",
        stage.len() + 1
    )
}

#[test]
fn each_stage_is_told_with_the_same_status_and_word_as_before() {
    let shared = Shared::new(64, 64);
    let life = || shared.lifecycle.borrow_mut();
    assert_eq!(
        ready(&shared),
        answer("503 Service Unavailable", "starting")
    );
    life().endpoint_list_received();
    assert_eq!(ready(&shared), answer("200 OK", "ready"));
    life().drain(clock::now());
    assert_eq!(
        ready(&shared),
        answer("503 Service Unavailable", "draining")
    );
    life().undrain();
    life().set_successor(SuccessorState::Ready);
    assert_eq!(ready(&shared), answer("200 OK", "handingover"));
    life().begin_shutdown(clock::now());
    assert_eq!(
        ready(&shared),
        answer("503 Service Unavailable", "stopping")
    );
}
