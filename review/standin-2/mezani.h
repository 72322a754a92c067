/* A deployment like mezani-care-menus: three controllers, four zones, one type of machine. */
#pragma once
#include "platform.h"

Site site = {
  .nodes = 3,
  .zones = { "nairobi-west", "nairobi-east", "mombasa-port", "kisumu-lake" },
  .types = { { "jiko-eight", 8, 32, 0.32, 0.07, 50, { "nairobi-west", "nairobi-east", "mombasa-port", "kisumu-lake" } } },
  .teams = { { "nutrition-desk", 0, 0 }, { "kitchen-ops", 0, 0 }, { "procurement", 0, 0 } },
  .report_s = 3,
  .lease_s = 14,
  .cancel_s = 34,
  .state_rps = 150,
  .state_write_rps = 50,
  .value_kb = 16,
  .txn_ops = 12,
  .cloud_rps = 3,
  .list_lag_s = 4,
  .capacity_spot = 7,
  .capacity_on_demand = 1,
  .boot_s = 3,
  .pull_s = 1,
  .memory_mb = 56,
  .sockets = 900,
  .objectives = "\n[[facts.objectives]]\nkind = \"deadline\"\nclass = \"menu-plan-nightly\"\nshare = 0.8\ntimes = 1.0\n"
                "\n[[facts.objectives]]\nkind = \"deadline\"\nclass = \"allergy-recheck\"\nshare = 0.82\ntimes = 1.0\n"
                "\n[[facts.objectives]]\nkind = \"wait\"\nclass = \"allergy-recheck\"\nwithin_s = 50.0\nshare = 0.82\n",
};
