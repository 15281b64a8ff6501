#pragma once

#include <random>

namespace camphorstack {

/// Source of random numbers. It is passed to every function that needs it, so that a run can be reproduced from its seed.
using random_source = std::mt19937_64;

}  // namespace camphorstack
