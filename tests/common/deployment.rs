//! A daemon with both frontends between stand-ins, for tests that block while these respond.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::Path;
use yokelift::testkit::coordinator::{Coordinator, known, ready_endpoint};
use yokelift::testkit::daemon::{
    Daemon, DaemonLimits, DaemonOptions, MACHINE_TYPES, ZONES, settings,
};
use yokelift::testkit::engines::{Engine, EngineOptions, EngineProtocol};
use yokelift::testkit::ports::reserve_addr;
use yokelift::testkit::stand_in_thread::StandInThread;
use yokelift::testkit::{ExecutionLog, Executor};

/// What a deployment consists of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentPlan {
    pub(crate) engines: u32,
    pub(crate) protocol: EngineProtocol,
    pub(crate) limits: DaemonLimits,
    pub(crate) has_admin_endpoint: bool,
}

impl Default for DeploymentPlan {
    /// Without engines, so that each request waits for its deadline.
    fn default() -> DeploymentPlan {
        DeploymentPlan {
            engines: 0,
            protocol: EngineProtocol::Platform,
            limits: DaemonLimits::with_sockets(256),
            has_admin_endpoint: false,
        }
    }
}

/// The stand-ins of a deployment.
pub(crate) struct StandIns {
    pub(crate) coordinator: Coordinator,
    pub(crate) engines: Vec<Engine>,
    pub(crate) log: ExecutionLog,
}

/// A daemon between a coordinator and engines. Its ClickHouse frontend has the user `anna` with the
/// key `secret`.
pub(crate) struct Deployment {
    pub(crate) stand_ins: StandInThread<StandIns>,
    pub(crate) daemon: Daemon,
    pub(crate) http_listen: SocketAddr,
}

impl Deployment {
    pub(crate) fn start(plan: DeploymentPlan) -> Deployment {
        let stand_ins = StandInThread::start(move |executor| {
            let log = ExecutionLog::default();
            let options = EngineOptions::new(plan.protocol);
            let engines = (1..=plan.engines)
                .map(|id| Engine::start(executor, &format!("e{id}"), options, log.clone()))
                .collect();
            StandIns {
                coordinator: Coordinator::start(executor),
                engines,
                log,
            }
        });
        let (coordinator, addresses): (SocketAddr, Vec<SocketAddr>) =
            stand_ins.call(|stand_ins: &mut StandIns, _| {
                let addresses = stand_ins.engines.iter().map(|engine| engine.addr);
                (stand_ins.coordinator.addr, addresses.collect())
            });
        let listed: Vec<_> = (1..)
            .zip(addresses)
            .map(|(id, addr)| ready_endpoint(id, addr))
            .collect();
        let http_listen = reserve_addr();
        let options = DaemonOptions {
            coordinator,
            known: known(&listed, &ZONES, &MACHINE_TYPES),
            deploy_file: Some(deploy_file(http_listen, plan)),
            limits: plan.limits,
            has_admin_endpoint: plan.has_admin_endpoint,
            settings: settings(),
        };
        let executor = Executor::default();
        let started =
            async_io::block_on(executor.run(Daemon::start(Deployment::program(), options)));
        Deployment {
            stand_ins,
            daemon: started.expect("the daemon starts"),
            http_listen,
        }
    }

    /// The daemon's highest resident memory so far, in MB.
    pub(crate) fn highest_memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.daemon.pid());
        let status = std::fs::read_to_string(path).expect("a process");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        let kilobytes: Option<u64> = kilobytes.and_then(|value| value.parse().ok());
        kilobytes.expect("a value in kB").div_ceil(1_024)
    }

    /// The daemon's program.
    pub(crate) fn program() -> &'static Path {
        Path::new(env!("CARGO_BIN_EXE_yokelift"))
    }
}

/// The deploy file: the frontend, its user, and the engines that use its protocol.
fn deploy_file(listen: SocketAddr, plan: DeploymentPlan) -> String {
    let mut file = format!(
        "listen = \"{listen}\"\nusual_class = \"lookup\"\n\
         [[class]]\nname = \"load\"\nbegins = [\"insert\"]\n\
         [[user]]\nname = \"anna\"\nkey = \"secret\"\ntenant = \"billing-desk\"\n"
    );
    if plan.protocol == EngineProtocol::ClickHouse {
        for id in 1..=plan.engines {
            file += &format!("[[engine]]\nid = \"s-{id:08x}\"\n");
        }
    }
    file
}
