#include "Command.h"

#include <array>

namespace lychee::command {

namespace {

constexpr std::array<Command, 10> Table{{
    {"check", "lychee check DIR [--team TEAM] [--server IP:PORT]",
     "Tells every problem of the settings in DIR, which holds one folder a\n"
     "team. Without --server the folder is checked by itself; with it, over\n"
     "the settings in force, DIR's teams replaced; LYCHEE_SERVER does not\n"
     "count here. Changes nothing.",
     "  lychee check examples/kitakyushu/settings\n"
     "  lychee check my-settings --team portal --server 127.0.10.1:23002\n",
     runCheck},
    {"apply", "lychee apply DIR [--team TEAM] [--base VERSION] [--wait]",
     "Makes the folders of DIR the subtrees of their teams, in one change.\n"
     "The change is made against the version that DIR was read at (as `show\n"
     "--out` and `apply` note it in DIR); if the subtree changed since, it is\n"
     "refused with who and what came first. Your files are never changed.",
     "  lychee apply examples/kitakyushu/settings --wait\n"
     "  lychee apply my-settings --team portal --base 12\n",
     runApply},
    {"diff", "lychee diff DIR [--team TEAM]",
     "Tells what apply would change: lines with - stand now, lines with +\n"
     "would. Returns 2 where anything differs.",
     "  lychee diff my-settings --team portal\n", runDiff},
    {"show", "lychee show [--team TEAM] [--out DIR]",
     "Tells the settings that the token opens, or writes them into DIR with\n"
     "the version that they were read at.",
     "  lychee show --team portal\n"
     "  lychee show --out my-settings\n",
     runShow},
    {"history", "lychee history [--limit COUNT]",
     "Tells the newest changes of settings, drains, keys, shifts and\n"
     "membership, newest first.",
     "  lychee history --limit 50\n", runHistory},
    {"status", "lychee status",
     "Tells how each host of the fleet is: settings in force, their age,\n"
     "lease, requests. Works while the store is down.",
     "  lychee status --output json\n", runStatus},
    {"explain", "lychee explain REQUEST-ID",
     "Tells the decisions on a recent request: its id stands in the header\n"
     "Lychee-Request-Id of each answer.",
     "  lychee explain 7f3a9c0d1e2b4455\n", runExplain},
    {"drain", "lychee drain host|target NAME [--undo] [--wait]",
     "Gives a target no new work, or lets look-ups stop naming a host. What\n"
     "runs there ends. --undo takes it back.",
     "  lychee drain target case-portal-07 --wait\n"
     "  lychee drain host kitakyushu-3 --undo\n",
     runDrain},
    {"key", "lychee key add CUSTOMER | key withdraw KEY-ID [--wait]",
     "Adds a key, which is drawn here, shown once and sent nowhere: the\n"
     "settings get its salted hash. Or withdraws one by its id, which stands\n"
     "before the dot of the key.",
     "  lychee key add council --wait\n"
     "  lychee key withdraw council-1 --wait\n",
     runKey},
    {"shift", "lychee shift start|pause|abort PLAN [--wait]",
     "Starts, holds or takes back a shifting plan.",
     "  lychee shift start evidence-to-kumamoto\n"
     "  lychee shift abort evidence-to-kumamoto --wait\n",
     runShift},
}};

} // namespace

std::span<const Command> allCommands() { return Table; }

} // namespace lychee::command
