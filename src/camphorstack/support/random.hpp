#pragma once

#include <random>

namespace camphorstack {

/// Random numbers are passed into every decision, so a seed reproduces a run.
using random_source = std::mt19937_64;

}  // namespace camphorstack
