// Keeps the library target valid while it has no other source.
namespace camphorstack::stand_ins {}
