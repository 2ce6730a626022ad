#pragma once

#include "decisions/release_ledger.hpp"
#include "net/http_exchange.hpp"

namespace parsleytrack
{

/// Answers with the version that a note has.
void respond_version(net::http_exchange& exchange, release_version version);

/// Answers 409 with the version in force and what came before it.
void respond_conflict(net::http_exchange& exchange,
                      const release_ledger::conflict& refusal);

/// Answers 422 with all findings.
void respond_findings(net::http_exchange& exchange, const findings& problems);

} // namespace parsleytrack
