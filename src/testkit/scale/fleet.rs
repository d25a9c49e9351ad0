//! A fleet of hollow managers: their threads, the orders to them, and the waits for what they see.
//! Whatever ends a thread before its time, a signal and the end of the time allowed are errors of
//! the run.
use super::hollow::{Batch, Order, Reading};
use super::hollow_node::home;
use super::needs::{self, Needs};
use super::observations::{Goal, Observations, Spread};
use crate::config::fleet::{FleetConfig, LeaseConfig};
use crate::lease::LeaseTiming;
use crate::membership::Timing;
use crate::testkit::daemon::Folder;
use async_channel::{Sender, unbounded};
use std::any::Any;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The driver looks this often.
const LOOK: Duration = Duration::from_millis(20);
/// Hollow managers that others greet first.
const SEEDS: usize = 3;

/// What is run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Hollow managers.
    pub managers: usize,
    /// Engines, whose loads they want.
    pub engines: u64,
    /// How many of the managers are voters; none: no duties are shared out.
    pub voters: usize,
    /// How often a second the module of each manager wants some engine's load.
    pub wants: f64,
    /// The same seed picks the same engines and the same manager to stop.
    pub seed: u64,
    /// Threads.
    pub threads: usize,
    /// The membership's timings.
    pub timing: Timing,
    /// The bounds of leases.
    pub terms: LeaseTiming,
    /// Managers put down what is owned for a second address, as daemons that have one do.
    pub console: bool,
    /// Others that each greets at the start, beside the first few: real daemons.
    pub greet: Vec<SocketAddr>,
    /// Between the start and quiet traffic, and after each disturbance.
    pub settle: Duration,
    /// How long quiet traffic is counted.
    pub quiet: Duration,
    /// How long a third is cut off; zero: not at all.
    pub cut: Duration,
    /// Managers that are restarted one after the other.
    pub rolling: usize,
    /// How long one event is waited for.
    pub patience: Duration,
    /// The run ends with an error after this.
    pub limit: Duration,
    /// Progress goes to standard error, a line a second.
    pub progress: bool,
}

impl Plan {
    /// The usual one for so many managers and engines.
    pub fn new(managers: usize, engines: u64) -> Plan {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        Plan {
            managers,
            engines,
            voters: 5,
            wants: 1.0,
            seed: 1,
            threads: cores.min(managers.div_ceil(16)).max(1),
            timing: Timing::default(),
            terms: LeaseTiming::default(),
            console: false,
            greet: Vec::new(),
            settle: Duration::from_secs(10),
            quiet: Duration::from_secs(20),
            cut: Duration::ZERO,
            rolling: 0,
            patience: Duration::from_secs(120),
            limit: Duration::from_secs(300),
            progress: false,
        }
    }

    /// The name of a manager.
    pub fn name(&self, who: usize) -> String {
        format!("m{who:04}")
    }

    /// The managers that vote, spread over the fleet.
    pub fn voting(&self) -> Vec<usize> {
        (0..self.voters)
            .map(|k| k * self.managers / self.voters)
            .collect()
    }

    /// Whether a manager is in the third that is cut off.
    pub fn in_region(&self, who: usize) -> bool {
        who < self.managers / 3
    }

    /// The fleet file of each manager.
    pub fn file(&self, seeds: &[SocketAddr]) -> FleetConfig {
        let voters: Vec<String> = self
            .voting()
            .into_iter()
            .map(|who| self.name(who))
            .collect();
        FleetConfig {
            bind: None,
            advertise: None,
            port: 0,
            seeds: seeds.to_vec(),
            timing: self.timing.clone(),
            audit: None,
            leases: (!voters.is_empty()).then_some(LeaseConfig {
                voters,
                terms: self.terms,
            }),
        }
    }

    /// Whether it can be run at all, and on this machine.
    pub fn check(&self) -> Result<(), String> {
        if !(3..=5_000).contains(&self.managers) || self.threads == 0 {
            return Err("a run takes 3 to 5000 managers and a thread at least".into());
        }
        if self.voters.is_multiple_of(2) && self.voters > 0 || self.voters > self.managers.min(15) {
            return Err("voters have to be an odd number, 15 and all managers at most".into());
        }
        if !(0.0..=1e3).contains(&self.wants) || self.rolling > self.managers {
            return Err("wants from 0 to 1000 a second, and no more restarts than managers".into());
        }
        self.timing.validate().map_err(|error| error.to_string())?;
        self.terms.check()?;
        Needs::of(self).check(needs::descriptors(), needs::available_mb())
    }
}

struct Thread {
    orders: Sender<Order>,
    handle: JoinHandle<()>,
    whom: Vec<usize>,
}

/// A fleet that runs.
pub struct Rig {
    /// The plan.
    pub plan: Arc<Plan>,
    /// What the managers saw.
    pub board: Arc<Observations>,
    /// Where the managers take datagrams, by their numbers.
    pub homes: Vec<SocketAddr>,
    /// Where somebody asks for the run's end.
    pub ending: Arc<AtomicBool>,
    threads: Vec<Thread>,
    /// A thread that ended before its time makes every later step an error.
    broken: Option<String>,
    cut: Arc<AtomicBool>,
    goals: u64,
    ends_at: Instant,
    told_at: Instant,
    _folder: Folder,
}

fn why(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    text.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_owned()))
        .unwrap_or_default()
}

impl Rig {
    /// Takes the sockets and starts the threads; the managers begin with [`begin`](Self::begin).
    pub fn new(plan: Plan, ending: Arc<AtomicBool>) -> Result<Rig, String> {
        plan.check()?;
        let plan = Arc::new(plan);
        let bind = |who| {
            let socket = UdpSocket::bind(home(who))?;
            socket.set_nonblocking(true)?;
            Ok((socket.local_addr()?, (who, socket)))
        };
        let bound: std::io::Result<Vec<_>> = (0..plan.managers).map(bind).collect();
        let bound = bound.map_err(|e| format!("can't take the managers' sockets: {e}"))?;
        let (homes, sockets): (Vec<SocketAddr>, Vec<(usize, UdpSocket)>) =
            bound.into_iter().unzip();
        let folder =
            Folder::new().map_err(|e| format!("can't make a folder for the votes: {e}"))?;
        let board = Arc::new(Observations::new(plan.managers, plan.threads));
        let cut = Arc::new(AtomicBool::new(false));
        let seeds: Vec<SocketAddr> = homes
            .iter()
            .take(SEEDS)
            .chain(&plan.greet)
            .copied()
            .collect();
        let mut parts: Vec<Vec<(usize, UdpSocket)>> =
            (0..plan.threads).map(|_| Vec::new()).collect();
        sockets
            .into_iter()
            .for_each(|(who, socket)| parts[who % plan.threads].push((who, socket)));
        let now = Instant::now();
        let mut rig = Rig {
            ends_at: now + plan.limit,
            told_at: now,
            goals: 0,
            threads: Vec::new(),
            broken: None,
            plan: plan.clone(),
            board: board.clone(),
            cut: cut.clone(),
            _folder: folder,
            homes,
            ending,
        };
        for (number, sockets) in parts.into_iter().enumerate() {
            let (sender, orders) = unbounded();
            let whom = sockets.iter().map(|(who, _)| *who).collect();
            let (plan, seeds, folder) = (plan.clone(), seeds.clone(), rig._folder.path(""));
            let (cut, board) = (cut.clone(), board.clone());
            let batch = Batch {
                number,
                plan,
                sockets,
                seeds,
                folder,
                cut,
                board,
                orders,
            };
            let thread = std::thread::Builder::new().name(format!("hollow-{number}"));
            let handle = thread
                .spawn(move || batch.run())
                .map_err(|e| format!("a thread: {e}"))?;
            rig.threads.push(Thread {
                orders: sender,
                handle,
                whom,
            });
        }
        Ok(rig)
    }

    /// Errs once the run can't give good figures any more.
    pub fn check(&mut self) -> Result<(), String> {
        if let Some(at) = self
            .threads
            .iter()
            .position(|thread| thread.handle.is_finished())
        {
            let ended = self.threads.swap_remove(at).handle.join();
            let why = ended
                .err()
                .map_or_else(|| "without a panic".to_owned(), |panic| why(&*panic));
            self.broken = Some(format!(
                "a thread of managers ended before the run did: {why}"
            ));
        }
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        if self.ending.load(Ordering::Relaxed) {
            return Err("ended by a signal".into());
        }
        if Instant::now() >= self.ends_at {
            return Err(format!(
                "not done within the limit of {} s",
                self.plan.limit.as_secs()
            ));
        }
        Ok(())
    }

    /// Says how far it is, a line a second.
    fn tell(&mut self, what: &str, spread: Option<Spread>) {
        if self.plan.progress && Instant::now() >= self.told_at {
            self.told_at = Instant::now() + Duration::from_secs(1);
            let at = self.board.now_ms() as f64 / 1e3;
            let late = self.board.late() as f64 / 1e3;
            let so_far =
                spread.map_or_else(String::new, |s| format!(", {} of {}", s.hold, s.asked));
            eprintln!("scale-fleet: {at:.0} s: {what}{so_far}, latest wake {late:.1} ms late");
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, what: &str, time: Duration) -> Result<(), String> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.check()?;
            self.tell(what, None);
            std::thread::sleep(LOOK.min(end.saturating_duration_since(Instant::now())));
        }
        Ok(())
    }

    /// Waits until something is so, or the patience is over: whether it came to be so.
    pub fn wait(
        &mut self,
        what: &str,
        mut holds: impl FnMut(&Rig) -> bool,
    ) -> Result<bool, String> {
        let end = Instant::now() + self.plan.patience;
        while !holds(self) {
            if Instant::now() >= end {
                return Ok(false);
            }
            self.check()?;
            self.tell(what, None);
            std::thread::sleep(LOOK);
        }
        Ok(true)
    }

    /// Has all look for a goal from now on.
    pub fn look(&mut self, goal: Goal) {
        self.goals += 1;
        self.order_all(|| Order::Look(goal.clone(), self.goals));
    }

    /// How far the present goal holds.
    pub fn spread(&self, whom: &[usize]) -> Spread {
        self.board.spread(self.goals, whom)
    }

    /// Waits until the present goal holds at all of these at once, or the patience is over.
    pub fn reach(&mut self, what: &str, whom: &[usize]) -> Result<Spread, String> {
        let end = Instant::now() + self.plan.patience;
        loop {
            let spread = self.spread(whom);
            if spread.hold == spread.asked || Instant::now() >= end {
                return Ok(spread);
            }
            self.check()?;
            self.tell(what, Some(spread));
            std::thread::sleep(LOOK);
        }
    }

    /// The managers by their numbers, but for these.
    pub fn all_but(&self, without: &[usize]) -> Vec<usize> {
        (0..self.plan.managers)
            .filter(|who| !without.contains(who))
            .collect()
    }

    fn order_all(&self, order: impl Fn() -> Order) {
        // One whose thread has ended is found by `check`.
        self.threads
            .iter()
            .for_each(|thread| _ = thread.orders.try_send(order()));
    }

    fn order(&self, who: usize, order: Order) {
        let thread = self
            .threads
            .iter()
            .find(|thread| thread.whom.contains(&who));
        let _ = thread.map(|thread| thread.orders.try_send(order));
    }

    /// All managers start.
    pub fn begin(&self) {
        self.order_all(|| Order::Begin);
    }

    /// Stops a manager: its socket is not read and it sends nothing.
    pub fn stop(&self, who: usize) {
        self.order(who, Order::Stop(who));
    }

    /// Starts a manager anew.
    pub fn restart(&self, who: usize) {
        self.order(who, Order::Restart(who));
    }

    /// All act on settings of that hash.
    pub fn retune(&self, hash: u64) {
        self.order_all(|| Order::Retune(hash));
    }

    /// Cuts a third off from the others, or lets them hear each other again.
    pub fn cut_off(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Makes a thread panic: for the test that a run with it is an error.
    pub fn break_thread(&self, thread: usize) {
        let _ = self.threads[thread].orders.try_send(Order::Break);
    }

    /// Gathers what threads tell; errs if one does not.
    fn gather<T>(
        &mut self,
        order: impl Fn(std::sync::mpsc::Sender<T>) -> Order,
    ) -> Result<Vec<T>, String> {
        let (tell, told) = std::sync::mpsc::channel();
        self.order_all(|| order(tell.clone()));
        drop(tell);
        let mut all = Vec::new();
        while all.len() < self.threads.len() {
            self.check()?;
            match told.recv_timeout(LOOK) {
                Ok(one) => all.push(one),
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {}
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => std::thread::sleep(LOOK),
            }
        }
        Ok(all)
    }

    /// The figures of all managers, by their numbers.
    pub fn read(&mut self) -> Result<Vec<Reading>, String> {
        let mut all: Vec<Reading> = self.gather(Order::Read)?.into_iter().flatten().collect();
        all.sort_unstable_by_key(|reading| reading.who);
        Ok(all)
    }

    /// Stops all managers, and then reads the figures for the last time, with what their sockets
    /// still hold.
    pub fn hush(&mut self) -> Result<Vec<Reading>, String> {
        self.gather(Order::Hush)?;
        self.read()
    }

    /// Datagrams that the managers' sockets lost for want of room.
    pub fn lost(&self) -> u64 {
        needs::lost(&self.homes)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.threads
            .iter()
            .for_each(|thread| _ = thread.orders.close());
        for thread in self.threads.drain(..) {
            let _ = thread.handle.join();
        }
    }
}
