//! The admin endpoint's readiness response in each stage of the lifecycle.
use super::*;
use crate::lifecycle::SuccessorState;
use futures_lite::future::block_on;

fn readiness_response(shared: &Shared) -> String {
    String::from_utf8(block_on(handle(shared, AdminRequest::Ready))).expect("text")
}

fn expected_response(status: &str, stage: &str) -> String {
    let head = format!("HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\n");
    format!(
        "{head}Content-Length: {}\r\nConnection: close\r\n\r\n{stage}\n",
        stage.len() + 1
    )
}

#[test]
fn each_lifecycle_stage_has_its_documented_status_and_name() {
    let shared = Shared::new(64, 64);
    let lifecycle = || shared.lifecycle.borrow_mut();
    assert_eq!(
        readiness_response(&shared),
        expected_response("503 Service Unavailable", "starting")
    );

    lifecycle().endpoint_list_received();
    assert_eq!(
        readiness_response(&shared),
        expected_response("200 OK", "ready")
    );

    lifecycle().drain(clock::now());
    assert_eq!(
        readiness_response(&shared),
        expected_response("503 Service Unavailable", "draining")
    );

    lifecycle().undrain();
    lifecycle().set_successor(SuccessorState::Ready);
    assert_eq!(
        readiness_response(&shared),
        expected_response("200 OK", "handingover")
    );

    lifecycle().begin_shutdown(clock::now());
    assert_eq!(
        readiness_response(&shared),
        expected_response("503 Service Unavailable", "stopping")
    );
}
