"""Random numbers by (seed, purpose), so that draws for one purpose do not shift those for another."""

from __future__ import annotations

import math
import zlib
from collections.abc import Sequence

import numpy as np


def stream(seed: int, purpose: str) -> np.random.Generator:
    """The same numbers for the same seed and purpose, on every machine and for every build."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, zlib.crc32(purpose.encode())])))


def zipf_weights(count: int, exponent: float) -> np.ndarray:
    """Shares that sum to 1, the largest first."""
    weights = 1.0 / np.arange(1, count + 1) ** exponent
    return weights / weights.sum()


def lognormal(rng: np.random.Generator, mean: float, cv: float, size: int | None = None):
    """Log-normal numbers with this mean and coefficient of variation."""
    sigma = math.sqrt(math.log(1 + cv * cv))
    return rng.lognormal(math.log(mean) - sigma * sigma / 2, sigma, size)


class UniformBuffer:
    """Uniform random numbers drawn in blocks, for a caller that needs them one at a time."""

    def __init__(self, rng: np.random.Generator, block_size: int = 1024) -> None:
        self.rng, self.block_size = rng, block_size
        self.uniforms: Sequence[float] = ()
        self.index = 0

    def uniform(self) -> float:
        """The next number, from 0 to 1."""
        if self.index >= len(self.uniforms):
            self.uniforms, self.index = self.rng.random(self.block_size).tolist(), 0
        self.index += 1
        return self.uniforms[self.index - 1]
