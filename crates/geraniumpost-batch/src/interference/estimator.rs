use std::collections::BTreeMap;

use geraniumpost_core::placement::Interner;
use geraniumpost_schema::Name;

use super::{ServingGroup, ServingImage, Slope};
use crate::{InterferencePair, InterferenceSnapshot};

/// Filling images told apart; further ones share the last number, so that matrices stay small.
const MOST_FILLING: usize = 60;
/// Serving images that are remembered: tens serve at once, and each takes up to 30 KB.
const MOST_SERVING: usize = 200;
/// Pairs that a successor is told of; each takes about 30 bytes in the store.
const MOST_PAIRS: usize = 600;

/// What is known of images over all minions.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    filling: Interner,
    serving: BTreeMap<Name, ServingImage>,
}

impl InterferenceModel {
    /// Learns from the tail of a serving group (in bounds) beside filling images that used these shares of
    /// its minion's processors, from 0 to 1.
    pub fn observe(
        &mut self,
        image: &Name,
        group: &ServingGroup,
        tail: f64,
        used: &BTreeMap<Name, f64>,
        now_ms: u64,
    ) {
        let mut shares = Vec::new();
        for (filling, share) in used {
            let at = self.number(filling);
            shares.resize(shares.len().max(at + 1), 0.0);
            shares[at] += share;
        }
        self.serving.entry(image.clone()).or_default().observe(group, tail, &shares, now_ms);
    }

    fn number(&mut self, filling: &Name) -> usize {
        (self.filling.intern(filling) as usize).min(MOST_FILLING - 1)
    }

    /// Returns the utilization at which a serving image's tail reaches so many bounds.
    pub fn utilization_at(&self, image: &Name, tail: f64) -> f64 {
        let unseen = ServingImage::default();
        self.serving.get(image).unwrap_or(&unseen).utilization(tail)
    }

    /// Returns the utilization that a group's own users cause.
    pub fn own_utilization(&self, image: &Name, group: &ServingGroup) -> f64 {
        let unseen = ServingImage::default();
        self.serving.get(image).unwrap_or(&unseen).own(group)
    }

    /// Returns what a filling image adds to the utilization of a serving one with a share of the minion's
    /// processors.
    pub fn added_utilization(&self, serving: &Name, filling: &Name, share: f64) -> f64 {
        let at = self.filling.get(filling).map(|at| (at as usize).min(MOST_FILLING - 1));
        let slope = self.serving.get(serving).map_or(Slope::UNKNOWN, |known| known.slope(at));
        slope.mean * share
    }

    /// Returns what a successor should know: the pairs that are known best.
    pub fn snapshot(&self) -> InterferenceSnapshot {
        let mut pairs = Vec::new();
        for (serving, known) in &self.serving {
            for (filling, at) in self.filling.names().iter().zip(0..MOST_FILLING) {
                let Slope { mean: slope, deviation } = known.slopes.get(at);
                if deviation < Slope::UNKNOWN.deviation {
                    let (serving, filling) = (serving.clone(), filling.clone());
                    pairs.push(InterferencePair {
                        serving,
                        best_effort: filling,
                        slope,
                        deviation,
                    });
                }
            }
        }
        pairs.sort_by(|a, b| a.deviation.total_cmp(&b.deviation));
        pairs.truncate(MOST_PAIRS);
        let quiet = self.serving.iter().map(|(image, known)| (image.clone(), known.idle_tail));
        InterferenceSnapshot { pairs, idle_tails: quiet.take(MOST_SERVING).collect() }
    }

    /// Takes over what a predecessor knew. Pairs that make no sense are passed over.
    pub fn restore(&mut self, knowledge: &InterferenceSnapshot) {
        for pair in &knowledge.pairs {
            let sensible = |value: f64| value.is_finite() && value >= 0.0;
            if !sensible(pair.slope) || !sensible(pair.deviation) {
                continue;
            }
            let at = self.number(&pair.best_effort);
            let slope = Slope { mean: pair.slope, deviation: pair.deviation };
            self.serving.entry(pair.serving.clone()).or_default().slopes.recall(at, slope);
        }
        for (image, tail) in knowledge.idle_tails.iter().filter(|(_, tail)| *tail > 0.0) {
            self.serving.entry(image.clone()).or_default().idle_tail = *tail;
        }
    }

    /// Forgets groups that are gone, and images that serve nowhere once there are too many. Images come and
    /// go for as long as the process runs, and each costs memory.
    pub fn retain_groups(&mut self, exists: impl Fn(&ServingGroup) -> bool) {
        for known in self.serving.values_mut() {
            known.retain(&exists);
        }
        if self.serving.len() > MOST_SERVING {
            self.serving.retain(|_, known| !known.is_idle());
        }
    }
}
