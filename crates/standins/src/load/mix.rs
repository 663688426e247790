//! Prompt and answer lengths of the two deployments.

/// Bytes of a token.
const TOKEN_BYTES: usize = 4;

/// A mix of prompt lengths: weights with a range in tokens, drawn log-uniformly.
#[derive(Clone, Debug)]
pub struct LengthMix {
    /// Weight, and shortest and longest prompt.
    pub prompts: Vec<(f64, u64, u64)>,
    /// Shortest and longest answer.
    pub answers: (u64, u64),
}

impl LengthMix {
    /// Short questions of a few lines.
    pub fn short() -> LengthMix {
        LengthMix { prompts: vec![(1.0, 30, 600)], answers: (8, 40) }
    }

    /// The Association's mix: checklists, load charts, and one venue dossier in fifty.
    pub fn association() -> LengthMix {
        LengthMix {
            prompts: vec![(0.70, 30, 600), (0.28, 2_000, 30_000), (0.02, 100_000, 500_000)],
            answers: (8, 64),
        }
    }

    /// The franchise's mix: drafts, contract bundles, and one season's correspondence in fifty.
    pub fn franchise() -> LengthMix {
        LengthMix {
            prompts: vec![(0.60, 50, 1_500), (0.38, 4_000, 40_000), (0.02, 100_000, 500_000)],
            answers: (16, 96),
        }
    }

    /// Only prompts above 100,000 tokens.
    pub fn long() -> LengthMix {
        LengthMix { prompts: vec![(1.0, 100_000, 500_000)], answers: (8, 64) }
    }

    /// Draws prompt and answer lengths, in tokens.
    pub fn draw(&self, rng: &mut fastrand::Rng) -> (u64, u64) {
        let total: f64 = self.prompts.iter().map(|part| part.0).sum();
        let mut point = rng.f64() * total;
        let mut chosen = self.prompts[0];
        for part in &self.prompts {
            chosen = *part;
            point -= part.0;
            if point < 0.0 {
                break;
            }
        }
        let (low, high) = ((chosen.1 as f64).ln(), (chosen.2 as f64).ln());
        let prompt = (low + rng.f64() * (high - low)).exp() as u64;
        (prompt, rng.u64(self.answers.0..=self.answers.1))
    }

    /// Mean prompt length in tokens.
    pub fn mean_prompt(&self) -> f64 {
        let total: f64 = self.prompts.iter().map(|part| part.0).sum();
        let mean = |low: f64, high: f64| (high - low) / (high / low).ln();
        self.prompts.iter().map(|part| part.0 / total * mean(part.1 as f64, part.2 as f64)).sum()
    }
}

/// A prompt text of about the given length that starts like no other prompt.
pub fn text(run: u32, number: usize, tokens: u64) -> String {
    let bytes = (tokens as usize * TOKEN_BYTES).saturating_sub(7);
    let mut text = format!("{run:08x} {number} ");
    while text.len() < bytes {
        text.push_str("the load chart of the fly gallery lists every batten and hoist, ");
    }
    text.truncate(bytes.max(16));
    text
}
