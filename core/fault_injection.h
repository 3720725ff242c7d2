// Deliberate defects for mutation tests: each violates one guarantee, and a test must detect it.
//
// Compiled to constants unless HAWTHORNPIN_MUTANTS is defined, so that release builds contain none.

#pragma once

namespace hawthornpin {

enum class mutant {
    none,
    regrant_after_lost_connection,
    not_run_after_send,
    replay_accepts_stale_base,
    replay_goes_back,
    cancel_drops_tombstone,
    revoke_drops_tombstone,
    refusal_drops_tombstone,
    partial_answer,
    join_ignores_digest,
    restart_accepts_old_ticket,
    leaving_accepts_grants,
    older_incarnation_overrides,
    duplicate_grant_starts_again,
    expired_ticket_starts,
    slot_leaks_on_stop,
    answers_swapped,
};

#ifdef HAWTHORNPIN_MUTANTS
// The mutant that is active in this process; only tests set it.
mutant& active_mutant();

inline bool is_mutant_active(mutant which)
{
    return active_mutant() == which;
}
#else
constexpr bool is_mutant_active(mutant /*which*/)
{
    return false;
}
#endif

} // namespace hawthornpin
