//! Sends the number of managers that share the engines to the dispatcher.
use crate::clock::Micros;
use crate::log;
use crate::membership::{ActiveGatewayCount, Membership};
use crate::net::dispatcher::DispatcherEvent;
use async_channel::Sender;

pub(super) struct GatewayCountPublisher {
    count: ActiveGatewayCount,
    grace: Micros,
    configured: u32,
    /// The count that was last sent to the dispatcher.
    published: u32,
    dispatcher: Sender<DispatcherEvent>,
}

impl GatewayCountPublisher {
    /// Starts with the number of managers in the settings, which the dispatcher starts with as
    /// well.
    pub(super) fn new(
        configured: u32,
        grace: Micros,
        dispatcher: Sender<DispatcherEvent>,
    ) -> GatewayCountPublisher {
        GatewayCountPublisher {
            count: ActiveGatewayCount::new(configured),
            grace,
            configured,
            published: configured,
            dispatcher,
        }
    }

    /// Updates the count at `now` and sends it if it changed. If the dispatcher's mailbox is full,
    /// a later update sends it, because the membership actor never waits for the dispatcher.
    pub(super) fn update(&mut self, membership: &Membership, now: Micros) {
        let others = membership.members().values().map(|member| &member.update);
        let count = self.count.count(membership.me(), others, self.grace, now);
        if count == self.published {
            return;
        }
        let event = DispatcherEvent::ActiveGateways(count);
        if self.dispatcher.try_send(event).is_ok() {
            self.published = count;
            log!(
                "fleet: {count} of {} managers share the engines",
                self.configured
            );
        }
    }
}
