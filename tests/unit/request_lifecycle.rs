//! Quota tokens of tenants over the lifecycle of their requests.
use super::*;
use crate::policy::api::{ClassId, Event, Settings, TenantSpec};
use crate::policy_builders::{SECOND, START, TICK, TICK_TIMER, settings};

/// Number of requests in a burst within the quota.
const BURST: u32 = 6;

struct Fixture {
    gateway: Gateway,
    now: Nanos,
}

impl Fixture {
    /// A gateway without engines, whose tenant may send one burst and very little more.
    fn new() -> Fixture {
        let tenants = vec![TenantSpec {
            quota_per_s: 0.001,
            share: 1.0,
        }];
        let settings = Settings {
            tenants,
            ..settings()
        };
        Fixture {
            gateway: Gateway::new(START, settings, 7),
            now: START,
        }
    }

    /// Receives a request and returns whether it exceeds the quota.
    fn exceeds_quota(&mut self, id: u32, is_retry: bool, wait: Nanos) -> bool {
        let request = Request {
            id: RequestId(id),
            class: ClassId(0),
            deadline: self.now + wait,
            is_retry,
            ..Request::default()
        };
        let event = Event::Request(request);
        self.gateway.handle(self.now, event, &mut Vec::new());
        self.gateway.requests[&RequestId(id)].over_quota
    }

    /// Lets two seconds pass, after which requests with a deadline of one second are rejected.
    fn advance(&mut self) {
        let end = self.now + 2 * SECOND;
        while self.now < end {
            self.now += TICK;
            let event = Event::TimerFired(TICK_TIMER);
            self.gateway.handle(self.now, event, &mut Vec::new());
        }
    }
}

#[test]
fn the_rejection_of_a_request_refunds_its_token() {
    let mut fixture = Fixture::new();
    assert!((0..BURST).all(|id| !fixture.exceeds_quota(id, false, SECOND)));
    assert!(fixture.exceeds_quota(BURST, false, SECOND));

    fixture.advance();

    assert!((10..10 + BURST).all(|id| !fixture.exceeds_quota(id, false, SECOND)));
    assert!(fixture.exceeds_quota(20, false, SECOND));
}

/// Guards tenants within their quota against one that marks its requests as retries. A marked retry
/// takes no token, so its rejection must not refund one. Each of them used to refund one.
#[test]
fn the_rejection_of_a_marked_retry_refunds_no_token() {
    let mut fixture = Fixture::new();
    assert!((0..BURST).all(|id| !fixture.exceeds_quota(id, false, 60 * SECOND)));
    assert!((10..30).all(|id| !fixture.exceeds_quota(id, true, SECOND)));

    fixture.advance();

    let open = fixture.gateway.requests.len();
    assert_eq!(open, BURST as usize, "the retries are rejected");
    assert!(fixture.exceeds_quota(50, false, SECOND));
}
