/* What tests of whole nodes have in common: a usual deployment, work, cuts, and how a day ends. */
#pragma once
#include "sim.h"

extern const SimOptions usual;
extern guint32 seed;

void scenes_init (int *argc, char ***argv);
void begin (const SimOptions *o);
void submit_some (guint tasks, double run_s);
void work_off (double within_s);
/* Every machine has gone back, and no part's record holds one. */
void assert_all_returned (void);
/* Lets the work end; every rule has been watched meanwhile. */
void finish (double within_s);
/* What a test must meet by chance, it meets with one seed or another. */
void with_seeds (void (*test) (void));
/* Between a machine and every node. */
void cut_off (const char *machine, SimCut how);
/* A machine's reports arrive, nothing reaches it. */
void deafen (const char *machine, SimCut how);
/* Between all nodes. */
void cut_peers (SimCut how);
/* Between a node and all machines that there may be. */
void cut_workers (const char *node, SimCut how);
/* Between those who may take over from n0 and n0, a machine, and the cloud. */
void cut_successors (const char *machine, SimCut how);
/* It ends without notice and is back after a while. */
void crash (guint node, double away_s);
void crash_all (guint nodes, double away_s);
/* A valid submission with one field set to a JSON value, or (NULL) left out. */
char *job_with (const char *field, const char *value);
