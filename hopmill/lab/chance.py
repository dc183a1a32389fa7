"""Random numbers by (seed, purpose): what one part draws shifts nothing that another part draws."""

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
    """Log-normal with this mean and coefficient of variation."""
    sigma = math.sqrt(math.log(1 + cv * cv))
    return rng.lognormal(math.log(mean) - sigma * sigma / 2, sigma, size)


class UniformBuffer:
    """Numbers drawn ahead in blocks, for a caller that needs them one at a time."""

    def __init__(self, rng: np.random.Generator, block_size: int = 1024) -> None:
        self.rng, self.block_size = rng, block_size
        self.uniforms: Sequence[float] = ()
        self.index = 0

    def uniform(self) -> float:
        if self.index >= len(self.uniforms):
            self.uniforms, self.index = self.rng.random(self.block_size).tolist(), 0
        self.index += 1
        return self.uniforms[self.index - 1]
