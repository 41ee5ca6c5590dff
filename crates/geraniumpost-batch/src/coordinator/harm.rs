//! How much what fills a minion slows what serves there, learnt pair by pair.
//!
//! Tasks that share a minion disturb each other by amounts that no declaration tells. Tails grow
//! like those of a queue: a task that is busy for a share `u` of the time has a tail of
//! `quiet / (1 - u)`. In `u`, the own load and what each filling image presses on it simply add up,
//! so the model of pairs works on `u`, and not on the tail, whose growth near the bound hides who
//! caused it.
//!
//! The own load swings within tens of seconds, and nobody reports it. What fills comes, goes and is
//! paced within one look. So the model learns from the changes between two looks, in which the own
//! load cancels: on a day of gauges of eleven minions that explained 26 to 40% of the variance with
//! standard errors of 0.001 to 0.002 a processor, for slopes from 0 to 0.027; the levels themselves
//! explained 15 to 39% with several slopes wrong by a factor of five. About three pairs in five
//! press hard, the others hardly at all.

use std::collections::BTreeMap;

use geraniumpost_core::placement::HarmModel;
use geraniumpost_schema::Name;

use super::Coordinator;
use super::minion::Minion;
use super::serving::Serving;
use crate::tuning::{FILL_TO_TAIL, TELL_EVERY_MS};
use crate::{Knowledge, Now, TaskId};

/// Load that the model is told: minions do not report it, and it cancels in changes.
const LOAD: f64 = 0.5;
/// Share of the newest own load in the one that is kept; looks are 0.4 s apart, loads swing in tens
/// of seconds.
const FRESH: f64 = 0.5;
/// Slope of a pair that nothing is known of, for each 16 processors: that of the pairs that press
/// hard, which are the more frequent ones. Too low a figure costs users their tails until it is
/// learnt; too high a one costs some speed.
const UNKNOWN_SLOPE: f64 = 0.3;
/// Serving images that are remembered: tens serve at once, and each takes up to 30 KB.
const MOST_IMAGES: usize = 200;
/// Pairs that a successor is told of; each takes about 30 bytes in the store.
const MOST_PAIRS: usize = 600;
/// Most that doubt adds to a slope, for each 16 processors.
const MOST_DOUBT: f64 = 0.15;
/// Shortest time between two looks that are compared, in milliseconds: each gauge covers half a
/// second, and windows that overlap show only a part of a change.
const LEARN_EVERY_MS: u64 = 700;
/// Tail of an idle serving task in bounds, before anything was measured.
const QUIET: f64 = 0.2;
/// Highest business taken in. Beyond it a queue has built up, and the tail says more about how long
/// than about who.
const BUSIEST: f64 = 0.95;
/// Least share of its speed that is told of any place, so that places stay comparable.
const LEAST_SPEED: f64 = 0.01;

/// What is known of images over all minions.
#[derive(Debug)]
pub(super) struct Harm {
    model: HarmModel,
    /// Lowest tail of each serving image, in bounds.
    quiet: BTreeMap<Name, f64>,
}

impl Default for Harm {
    fn default() -> Self {
        let model = HarmModel::default().unknown_slope(UNKNOWN_SLOPE);
        Self { model, quiet: BTreeMap::new() }
    }
}

impl Harm {
    fn quiet(&self, image: &Name) -> f64 {
        self.quiet.get(image).copied().unwrap_or(QUIET)
    }

    /// Returns how busy a serving task with a tail (in bounds) is.
    fn business(&self, image: &Name, tail: f64) -> f64 {
        (1.0 - self.quiet(image) / tail.max(0.001)).clamp(0.0, BUSIEST)
    }

    /// Returns how much processors of a filling image add to the business of a serving one.
    fn press(&self, serving: &Name, filling: &Name, milli_cpus: f64) -> f64 {
        let class = self.model.known_class(filling);
        // A pair that seems harmless by mistake would be filled without limit.
        let doubt = self.model.doubt(serving, class).min(MOST_DOUBT);
        (self.model.slope(serving, class) + doubt) * HarmModel::strength(milli_cpus, LOAD)
    }

    /// Returns what a successor should know: the pairs with the most evidence.
    fn knowledge(&self) -> Knowledge {
        let mut pairs = self.model.pairs();
        pairs.sort_by(|a, b| b.evidence.total_cmp(&a.evidence));
        pairs.truncate(MOST_PAIRS);
        let quiet = self.quiet.iter().map(|(image, tail)| (image.clone(), *tail));
        Knowledge { pairs, quiet: quiet.take(MOST_IMAGES).collect() }
    }

    /// Takes in what a predecessor knew.
    fn recall(&mut self, knowledge: Knowledge) {
        for pair in &knowledge.pairs {
            self.model.recall(pair);
        }
        self.quiet.extend(knowledge.quiet.into_iter().filter(|(_, tail)| *tail > 0.0));
    }

    /// Forgets images that serve nowhere, once there are too many. Images come and go for as long as
    /// the process runs, and each costs memory.
    fn forget(&mut self, serves: impl Fn(&Name) -> bool) {
        if self.quiet.len() > MOST_IMAGES {
            self.quiet.retain(|image, _| serves(image));
            self.model.keep(serves);
        }
    }

    /// Takes in a tail, and returns how busy it shows the image.
    fn measured(&mut self, serving: &Name, tail: f64) -> f64 {
        let quiet = self.quiet.entry(serving.clone()).or_insert(QUIET);
        *quiet = quiet.min(tail);
        self.business(serving, tail)
    }

    /// Learns from the change of an image's business beside changes of what fills.
    fn learn(&mut self, serving: &Name, change: f64, ran: &[(usize, f64)]) {
        self.model.observe_change(serving, LOAD, ran, change);
    }
}

impl Coordinator {
    /// Takes over what a predecessor had learnt of images.
    #[must_use]
    pub fn with_knowledge(mut self, knowledge: Knowledge) -> Self {
        self.harm.recall(knowledge);
        self
    }

    /// Returns what was learnt of images, if a successor should be told anew.
    pub(super) fn knowledge_due(&mut self, now: Now) -> Option<Vec<u8>> {
        if now.steady_ms < self.told_ms + TELL_EVERY_MS {
            return None;
        }
        self.told_ms = now.steady_ms;
        let knowledge = self.harm.knowledge();
        (!knowledge.pairs.is_empty()).then(|| knowledge.encode())
    }

    /// Forgets what is known of images that no minion serves, if there is much of it.
    pub(super) fn forget_images(&mut self) {
        let minions = &self.minions;
        let serves = |image: &Name| minions.values().any(|m| m.serving_images.contains_key(image));
        self.harm.forget(serves);
    }

    /// Learns from a minion's gauges.
    pub(super) fn observe_harm(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        let (mut tails, mut ran) = (BTreeMap::<Name, f64>::new(), Vec::new());
        let mut over = Vec::new();
        for task in &minion.runs {
            let (Some(run), Some(step)) = (self.runs.get(task), self.step_spec(*task)) else {
                continue;
            };
            if step.serves() && run.percent == 100 && run.gauge > 0 {
                let tail = f64::from(run.gauge) / f64::from(step.latency_bound_ms);
                let worst = tails.entry(step.image.clone()).or_default();
                *worst = worst.max(tail);
                over.push((*task, tail > 1.0));
            } else if step.fills && run.started_ms.is_some() {
                ran.push((step.image.clone(), f64::from(run.gauge)));
            }
        }
        self.note_over(id, over, now);
        let Some(minion) = self.minions.get_mut(id) else { return };
        let mut used: BTreeMap<Name, f64> = BTreeMap::new();
        for (image, cpus) in ran {
            *used.entry(image).or_default() += cpus;
        }
        let due = now.steady_ms >= minion.learnt_ms + LEARN_EVERY_MS;
        let mut before = used.clone();
        if due {
            minion.learnt_ms = now.steady_ms;
            before = std::mem::replace(&mut minion.fill_used, used.clone());
        }
        let changes = self.changes(&before, &used);
        for (image, tail) in tails {
            let business = self.harm.measured(&image, tail);
            let pressed: f64 =
                used.iter().map(|(filling, cpus)| self.harm.press(&image, filling, *cpus)).sum();
            let Some(minion) = self.minions.get_mut(id) else { return };
            let serving = minion.serving_images.entry(image.clone()).or_default();
            let own = (business - pressed).max(0.0);
            let known = serving.tail > 0.0;
            serving.own = if known { serving.own * (1.0 - FRESH) + own * FRESH } else { own };
            serving.tail = tail;
            if !due {
                continue;
            }
            let last = std::mem::replace(&mut serving.business, business);
            if last > 0.0 {
                self.harm.learn(&image, business - last, &changes);
            }
        }
    }

    /// Returns by how much each filling image uses more processors than before, in thousandths.
    fn changes(
        &mut self,
        before: &BTreeMap<Name, f64>,
        used: &BTreeMap<Name, f64>,
    ) -> Vec<(usize, f64)> {
        let names: std::collections::BTreeSet<&Name> = before.keys().chain(used.keys()).collect();
        let at = |map: &BTreeMap<Name, f64>, name| map.get(name).copied().unwrap_or(0.0);
        let changes = names.into_iter().map(|name| (name, at(used, name) - at(before, name)));
        changes.map(|(name, change)| (self.harm.model.class(name), change)).collect()
    }

    /// Takes note of which serving tasks are over their bounds, and since when.
    fn note_over(&mut self, id: &Name, over: Vec<(TaskId, bool)>, now: Now) {
        let mut longest_ms = 0;
        for (task, is_over) in over {
            let Some(run) = self.runs.get_mut(&task) else { continue };
            run.over_ms = is_over.then(|| run.over_ms.unwrap_or(now.steady_ms));
            let since_ms = run.over_ms.map_or(0, |since| now.steady_ms - since + 1);
            longest_ms = longest_ms.max(since_ms);
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.over_for_ms = longest_ms;
        }
    }

    /// Returns how much more business each serving image on a minion can bear before its tail
    /// reaches [`FILL_TO_TAIL`], given what fills there at the shares that `percent` names.
    fn room(&self, minion: &Minion, percent: impl Fn(&Name) -> u8) -> Vec<(Name, f64)> {
        let room = |(image, serving): (&Name, &Serving)| {
            let pressed: f64 = minion
                .fill_images
                .iter()
                .map(|(f, filling)| self.harm.press(image, f, filling.at(percent(f))))
                .sum();
            let bearable = self.harm.business(image, FILL_TO_TAIL);
            (image.clone(), bearable - serving.own - pressed)
        };
        minion.serving_images.iter().map(room).collect()
    }

    /// Works out anew what a minion's serving images can bear; placements read it many times.
    pub(super) fn refresh_room(&mut self, id: &Name) {
        let Some(minion) = self.minions.get(id) else { return };
        let paces = |f: &Name| minion.fill_images.get(f).map_or(100, |filling| filling.percent);
        let room = self.room(minion, paces);
        if let Some(minion) = self.minions.get_mut(id) {
            minion.room = room;
        }
    }

    /// Returns the share of its speed, from 0 to 1, that a task may work at beside what serves on a
    /// minion.
    pub(super) fn harmless_share(&self, minion: &Minion, image: &Name, milli_cpus: i64) -> f64 {
        let mut share: f64 = 1.0;
        for (serving, room) in &minion.room {
            let adds = self.harm.press(serving, image, milli_cpus as f64);
            if adds > *room {
                share = share.min((room / adds.max(1e-6)).max(0.0));
            }
        }
        share.max(LEAST_SPEED)
    }

    /// Returns the share that each filling image on a minion may work at, so that no serving one is
    /// pressed too hard: those that press hardest for their size yield first.
    pub(super) fn bearable_paces(&self, minion: &Minion) -> BTreeMap<Name, u8> {
        let mut paces: BTreeMap<Name, u8> =
            minion.fill_images.keys().map(|image| (image.clone(), 100)).collect();
        let rooms = self.room(minion, |_| 100);
        for (serving, room) in rooms {
            let mut over = -room;
            let mut pressing: Vec<(f64, f64, &Name)> = minion
                .fill_images
                .iter()
                .map(|(image, filling)| {
                    let press = self.harm.press(&serving, image, filling.at(100));
                    (press / filling.at(100).max(1.0), press, image)
                })
                .collect();
            pressing.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (_, press, image) in pressing {
                let present = paces.get(image).copied().unwrap_or(100);
                // What this image yields for another serving one counts here as well.
                over -= press * f64::from(100 - present) / 100.0;
                if over <= 0.0 || press <= 0.0 {
                    break;
                }
                let left = (f64::from(present) / 100.0 - over / press).max(0.0);
                over -= press * (f64::from(present) / 100.0 - left);
                paces.insert(image.clone(), (left * 100.0) as u8);
            }
        }
        paces
    }

    /// Enters or removes a run in what serves and what fills on its minion.
    pub(super) fn count_images(&mut self, task: TaskId, id: &Name, enters: bool) {
        let Some(step) = self.step_spec(task).cloned() else { return };
        let Some(minion) = self.minions.get_mut(id) else { return };
        let change = if enters { 1 } else { -1 };
        if step.fills {
            let filling = minion.fill_images.entry(step.image.clone()).or_default();
            filling.runs += change;
            filling.milli_cpus += i64::from(change) * step.demand.milli_cpus;
            if filling.runs <= 0 {
                minion.fill_images.remove(&step.image);
            }
        } else if step.serves() {
            let serving = minion.serving_images.entry(step.image.clone()).or_default();
            serving.runs = serving.runs.saturating_add_signed(change);
            if serving.runs == 0 {
                minion.serving_images.remove(&step.image);
            }
        } else {
            return;
        }
        self.refresh_room(id);
    }
}
