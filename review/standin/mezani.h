/* The deployment of the brief's first page: three controllers, four zones, `jiko-eight`. Machines
 * boot in about 8 s instead of 50 s, to fit a run into two minutes. */
#pragma once
#include "standin.h"

#define MEZANI_TEAMS                                                                               \
  "[[facts.teams]]\nname = \"nutrition-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"           \
  "gpus_max = 0.0\n\n[[facts.teams]]\nname = \"kitchen-ops\"\ncpus = 0.0\ncpus_max = 0.0\n"        \
  "gpus = 0.0\ngpus_max = 0.0\n\n[[facts.teams]]\nname = \"procurement\"\ncpus = 0.0\n"            \
  "cpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n\n"                                                 \
  "[[facts.objectives]]\nkind = \"wait\"\nclass = \"allergy-recheck\"\nwithin_s = 50.0\n"          \
  "share = 0.82\n"

static inline Site
mezani (void)
{
  return (Site){ .nodes = 3,
                 .zones = { "nairobi-west", "nairobi-east", "mombasa-port", "kisumu-lake", NULL },
                 .report_s = 3,
                 .lease_s = 14,
                 .cancel_s = 34,
                 .rps = 150,
                 .write_rps = 50,
                 .value_kb = 16,
                 .txn_ops = 12,
                 .cloud_rps = 3,
                 .list_lag_s = 4,
                 .type = "jiko-eight",
                 .type_cpus = 8,
                 .type_mem = 32,
                 .ready_s = 8,
                 .spot_capacity = 8,
                 .capacity = 2,
                 .initial = 4,
                 .teams = MEZANI_TEAMS,
                 .restart_s = 3 };
}
