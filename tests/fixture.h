/* What tests of whole nodes have in common: a usual deployment, work, cuts, and how a day ends. */
#pragma once
#include "sim.h"

extern const SimOptions default_options;
extern guint32 seed;

void fixture_init (int *argc, char ***argv);
void start_cluster (const SimOptions *o);
void submit_jobs (guint tasks, double run_s);
void run_until_finished (double within_s);
/* Every machine has gone back, and no part's record holds one. */
void assert_all_machines_released (void);
/* Lets the work end; every rule has been watched meanwhile. */
void finish_and_check (double within_s);
/* What a test must meet by chance, it meets with one seed or another. */
void with_seeds (void (*test) (void));
/* Between a machine and every node. */
void set_machine_links (const char *machine, SimLinkState how);
/* A machine's reports arrive, nothing reaches it. */
void set_links_to_machine (const char *machine, SimLinkState how);
/* Between all nodes. */
void set_peer_links (SimLinkState how);
/* Between a node and all machines that there may be. */
void set_worker_links (const char *node, SimLinkState how);
/* Between those who may take over from n0 and n0, a machine, and the cloud. */
void set_successor_links (const char *machine, SimLinkState how);
/* It ends without notice and is back after a while. */
void crash_and_restart (guint node, double away_s);
void crash_and_restart_all (guint nodes, double away_s);
/* A valid submission with one field set to a JSON value, or (NULL) left out. */
char *job_json_with (const char *field, const char *value);
