/* A deployment like mksz-mealkit-grid: three controllers, two zones, a type of machine in each. */
#pragma once
#include "platform.h"

Site site = {
  .nodes = 3,
  .zones = { "gyor-west", "budapest-csepel" },
  .types = { { "kis-negyes", 4, 32, 0.19, 0.06, 20, { "budapest-csepel" } },
             { "nagy-nyolcas", 8, 64, 0.38, 0.11, 40, { "gyor-west" } } },
  .teams = { { "packing", 40, 88 },
             { "routing", 48, 168 },
             { "sourcing", 56, 168 },
             { "member-it", 32, 80 },
             { "compliance", 32, 80 } },
  .report_s = 2,
  .lease_s = 12,
  .cancel_s = 42,
  .state_rps = 100,
  .state_write_rps = 15,
  .value_kb = 8,
  .txn_ops = 12,
  .cloud_rps = 3,
  .list_lag_s = 6,
  .capacity_spot = 10,
  .capacity_on_demand = 2,
  .boot_s = 1.5,
  .pull_s = 0.5,
  .memory_mb = 72,
  .sockets = 1500,
  .objectives = "\n[[facts.objectives]]\nkind = \"finished\"\nclass = \"box-planning\"\nwithin_s = 80.0\nshare = 0.8\n"
                "\n[[facts.objectives]]\nkind = \"deadline\"\nclass = \"allergen-labels\"\nshare = 0.9\ntimes = 1.0\n"
                "\n[[facts.objectives]]\nkind = \"wait\"\nclass = \"allergen-labels\"\nwithin_s = 4.0\nshare = 0.88\n"
                "\n[[facts.objectives]]\nkind = \"finished\"\nclass = \"menu-archive\"\nwithin_s = 180.0\nshare = 0.65\n",
};
