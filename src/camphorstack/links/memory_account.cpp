#include "camphorstack/links/memory_account.hpp"

#include <algorithm>

namespace camphorstack {

std::size_t memory_part_limit(std::size_t memory_limit) {
    return (std::max(memory_limit, least_memory_limit) - memory_without_callers) / memory_part_count;
}

std::size_t used_memory(const memory_account& account, memory_part part) {
    return account.used.at(static_cast<std::size_t>(part));
}

bool has_room(const memory_account& account, memory_part part, std::size_t bytes) {
    const auto used = used_memory(account, part);
    return used == 0 || (used <= account.part_limit && bytes <= account.part_limit - used);
}

void change_charge(memory_account& account, memory_part part, std::size_t before, std::size_t after) {
    auto& used = account.used.at(static_cast<std::size_t>(part));
    used = used - std::min(used, before) + after;
}

}  // namespace camphorstack
