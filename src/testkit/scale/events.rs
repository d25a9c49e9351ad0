//! What is done to a fleet of hollow managers, one event after the other, and how long they need.
use super::figures::{Accounts, Cut, Death, Figures, Load, MOST_LATE_MS, Rolling, Took};
use super::fleet::{Plan, Rig};
use super::hollow::Reading;
use super::needs;
use super::observations::{Goal, Owner, Spread};
use crate::clock::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

/// Hash of the settings that all get anew.
const NEW_SETTINGS: u64 = 2;
/// A life begins at least this much later than the one before it, in microseconds.
const NEXT_LIFE: Micros = 1_000;

/// Runs all events of a plan.
pub fn run(plan: Plan, ending: Arc<AtomicBool>) -> Result<Figures, String> {
    let resident = needs::resident_kb();
    let mut run = Run::new(Rig::new(plan, ending)?);
    run.join()?;
    run.quiet(resident)?;
    run.death()?;
    run.settings()?;
    run.cut()?;
    run.rolling()?;
    run.close()
}

/// A run and its figures so far.
pub struct Run {
    /// The fleet.
    pub rig: Rig,
    /// The figures.
    pub figures: Figures,
}

impl Run {
    /// Nothing has happened yet.
    pub fn new(rig: Rig) -> Run {
        let plan = &rig.plan;
        let figures = Figures {
            managers: plan.managers,
            engines: plan.engines,
            voters: plan.voters,
            wants: plan.wants,
            seed: plan.seed,
            threads: plan.threads,
            settle_seconds: plan.settle.as_secs_f64(),
            console: plan.console,
            ..Figures::default()
        };
        Run { rig, figures }
    }

    /// The latest wake since this was asked last, in milliseconds.
    fn late(&mut self) -> f64 {
        let late = self.rig.board.take_late() as f64 / 1e3;
        self.figures.latest_wake_ms = self.figures.latest_wake_ms.max(late);
        self.figures.overloaded |= late >= MOST_LATE_MS;
        late
    }

    fn took(&mut self, what: &str, since_ms: u64, spread: Spread) -> Took {
        let whole = spread.hold == spread.asked;
        if !whole {
            self.figures
                .failed
                .push(format!("{what}: {} of {}", spread.hold, spread.asked));
        }
        Took {
            all_ms: whole.then(|| spread.last_ms.saturating_sub(since_ms)),
            half_ms: spread.median_ms.saturating_sub(since_ms),
            had: spread.hold,
            asked: spread.asked,
            latest_wake_ms: self.late(),
        }
    }

    fn others(&self) -> usize {
        self.rig.plan.managers - 1 + self.rig.plan.greet.len()
    }

    /// Counts traffic over a time.
    fn count(&mut self, what: &str, time: Duration) -> Result<(Load, Vec<Reading>), String> {
        self.late();
        let (before, since, processor) = (self.rig.read()?, Instant::now(), needs::processor());
        self.rig.pass(what, time)?;
        let load = self.load_since(&before, since, processor)?;
        Ok((load, self.rig.read()?))
    }

    fn load_since(
        &mut self,
        before: &[Reading],
        since: Instant,
        processor: Duration,
    ) -> Result<Load, String> {
        let (time, used) = (
            since.elapsed(),
            needs::processor().saturating_sub(processor),
        );
        let after = self.rig.read()?;
        let late = self.late();
        Ok(Load::between(
            &self.rig.plan,
            (before, &after),
            time,
            used,
            late,
        ))
    }

    /// All start at once, until each knows each.
    pub fn join(&mut self) -> Result<(), String> {
        let all = self.rig.all_but(&[]);
        self.rig.look(Goal::Alive(self.others()));
        let since = self.rig.board.now_ms();
        self.rig.begin();
        let spread = self.rig.reach("all start at once", &all)?;
        self.figures.join = self.took("join", since, spread);
        self.rig.look(Goal::Idle);
        Ok(())
    }

    /// Quiet traffic, after what the start stirred up has settled.
    pub fn quiet(&mut self, resident_before: u64) -> Result<(), String> {
        self.rig.pass("settles", self.rig.plan.settle)?;
        let (load, _) = self.count("quiet traffic", self.rig.plan.quiet)?;
        self.figures.quiet = load;
        self.figures.owned = self.rig.board.owners().len();
        let memory = needs::resident_kb().saturating_sub(resident_before);
        self.figures.memory_kb = memory / self.rig.plan.managers as u64;
        Ok(())
    }

    /// The manager to stop: no voter, and of those with the most duties the one that the seed
    /// picks.
    fn victim(&self, owners: &BTreeMap<u64, Owner>) -> usize {
        let mut duties: BTreeMap<usize, usize> = BTreeMap::new();
        owners
            .values()
            .for_each(|owner| *duties.entry(owner.who).or_default() += 1);
        let mut others = self.rig.all_but(&self.rig.plan.voting());
        let most = others
            .iter()
            .map(|who| duties.get(who).copied().unwrap_or(0))
            .max()
            .unwrap_or(0);
        others.retain(|who| duties.get(who).copied().unwrap_or(0) == most);
        // All vote in the smallest fleets.
        let picked = self.rig.plan.seed as usize % others.len().max(1);
        others
            .get(picked)
            .copied()
            .unwrap_or(self.rig.plan.managers - 1)
    }

    /// One manager stops: until all others have declared it dead, and each of its duties has
    /// another owner. Then it is started anew.
    pub fn death(&mut self) -> Result<(), String> {
        let owners = self.rig.board.owners();
        let victim = self.victim(&owners);
        let mine: Vec<(u64, Owner)> = owners
            .into_iter()
            .filter(|(_, owner)| owner.who == victim)
            .collect();
        let (name, others) = (self.rig.plan.name(victim), self.rig.all_but(&[victim]));
        self.late();
        self.rig.look(Goal::Dead(name.clone()));
        let since = self.rig.board.now_ms();
        self.rig.stop(victim);
        let spread = self.rig.reach("one is stopped", &others)?;
        let dead = self.took("death", since, spread);
        self.rig.look(Goal::Idle);
        let follows = |rig: &Rig| -> Option<u64> {
            let now = rig.board.owners();
            let next = mine.iter().map(|(engine, owner)| {
                now.get(engine)
                    .filter(|n| n.token > owner.token && n.who != victim)
                    .map(|n| n.since_ms)
            });
            next.collect::<Option<Vec<u64>>>()
                .map(|all| all.into_iter().max().unwrap_or(since))
        };
        let passed = self
            .rig
            .wait("its duties pass", |rig| follows(rig).is_some())?;
        let owners_ms = follows(&self.rig).map(|at| at.saturating_sub(since));
        if !passed {
            self.figures
                .failed
                .push("owners: not every duty has another one".into());
        }
        self.late();
        self.figures.death = Death {
            manager: name,
            dead,
            duties: mine.len(),
            owners_ms,
        };
        self.restart(victim, "it is started anew")?;
        Ok(())
    }

    /// Starts a manager anew, until all others take the new life for alive and it takes all for
    /// alive: how long that took, and the latest wake of a thread meanwhile, both in milliseconds.
    fn restart(&mut self, who: usize, what: &str) -> Result<(Option<u64>, f64), String> {
        let life = self.rig.read()?.get(who).map_or(0, |reading| reading.life);
        let others = self.rig.all_but(&[who]);
        self.rig
            .look(Goal::Reborn(self.rig.plan.name(who), life + NEXT_LIFE));
        let since = self.rig.board.now_ms();
        self.rig.restart(who);
        let spread = self.rig.reach(what, &others)?;
        let known = self.took(what, since, spread);
        self.rig.look(Goal::Alive(self.others()));
        let spread = self.rig.reach("it knows all", &[who])?;
        let knows = self.took("knows all after its start", since, spread);
        self.rig.look(Goal::Idle);
        let both = known
            .all_ms
            .zip(knows.all_ms)
            .map(|(known, knows)| known.max(knows));
        Ok((both, known.latest_wake_ms.max(knows.latest_wake_ms)))
    }

    /// New settings at all, until all know.
    pub fn settings(&mut self) -> Result<(), String> {
        self.rig.pass("settles", self.rig.plan.settle)?;
        self.late();
        let all = self.rig.all_but(&[]);
        self.rig.look(Goal::Settings(NEW_SETTINGS));
        let since = self.rig.board.now_ms();
        self.rig.retune(NEW_SETTINGS);
        let spread = self.rig.reach("new settings", &all)?;
        self.figures.settings = self.took("settings", since, spread);
        self.rig.look(Goal::Idle);
        Ok(())
    }

    /// A third is cut off and healed, if the plan says so.
    pub fn cut(&mut self) -> Result<(), String> {
        let time = self.rig.plan.cut;
        if time.is_zero() {
            return Ok(());
        }
        self.rig.pass("settles", self.rig.plan.settle)?;
        self.rig.cut_off(true);
        let (during, readings) = self.count("a third is cut off", time)?;
        let alive = readings.iter().map(|reading| reading.alive);
        let alive = (alive.clone().min().unwrap_or(0), alive.max().unwrap_or(0));
        let (before, counted, processor) = (self.rig.read()?, Instant::now(), needs::processor());
        let all = self.rig.all_but(&[]);
        self.rig.look(Goal::Alive(self.others()));
        let since = self.rig.board.now_ms();
        self.rig.cut_off(false);
        let spread = self.rig.reach("it heals", &all)?;
        let healed = self.took("heal", since, spread);
        self.rig.look(Goal::Idle);
        self.rig.pass("settles", self.rig.plan.settle)?;
        let after = self.load_since(&before, counted, processor)?;
        self.figures.cut = Some(Cut {
            seconds: time.as_secs_f64(),
            during,
            alive,
            healed,
            after,
        });
        Ok(())
    }

    /// Managers restarted one after the other, as many as the plan says.
    pub fn rolling(&mut self) -> Result<(), String> {
        let (count, managers) = (self.rig.plan.rolling, self.rig.plan.managers);
        if count == 0 {
            return Ok(());
        }
        self.late();
        let (mut rolling, first) = (Rolling::default(), self.rig.plan.seed as usize);
        for k in 0..count {
            let (took, late) =
                self.restart((first + k) % managers, "restarts one after the other")?;
            rolling.each_ms.push(took);
            rolling.latest_wake_ms = rolling.latest_wake_ms.max(late);
        }
        self.figures.rolling = Some(rolling);
        Ok(())
    }

    /// Ends the run: the accounts.
    pub fn close(mut self) -> Result<Figures, String> {
        let all = self.rig.hush()?;
        self.figures.accounts = Accounts::of(&all, self.rig.lost());
        self.late();
        Ok(self.figures)
    }
}
