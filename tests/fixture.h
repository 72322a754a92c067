/* Common fixture of the tests that simulate whole nodes: usual options, work, faults of several
 * links or nodes, and the checks at the end of a test. */
#pragma once
#include "sim.h"

extern const SimOptions default_options;
extern guint32 seed;

/* Initializes GLib's test framework. Reads KR_TEST_SEED and KR_TEST_LOG. */
void fixture_init (int *argc, char ***argv);
/* Starts the simulation and runs it for 3 s. */
void start_cluster (const SimOptions *o);
/* Submits one job for each of three teams. */
void submit_jobs (guint tasks, double run_s);
/* Runs the simulation until all jobs have finished, at most for about `within_s`. */
void run_until_finished (double within_s);
/* Asserts that no machine is rented or in any shard's machine record. */
void assert_all_machines_released (void);
/* Ends a test: waits for the jobs and the liveness check, and asserts that all jobs have finished
 * and no rule was violated. */
void finish_and_check (double within_s);
/* Runs a test with four seeds in a row, where the fault depends on a random interleaving. */
void with_seeds (void (*test) (void));
/* Sets the links between a machine and all nodes, in both directions. */
void set_machine_links (const char *machine, SimLinkState state);
/* Sets the links from all nodes to a machine. Its own messages still reach them. */
void set_links_to_machine (const char *machine, SimLinkState state);
/* Sets the links between all nodes. */
void set_peer_links (SimLinkState state);
/* Sets the links between a node and the first twelve machines, all that a test is expected to rent.
 */
void set_worker_links (const char *node, SimLinkState state);
/* Sets the links between every node but n0, each of which may take over n0's shard, and n0, the
 * machine and the cloud. */
void set_successor_links (const char *machine, SimLinkState state);
/* Kills the node, and starts it again after `down_s`. */
void crash_and_restart (guint node, double down_s);
/* The same with the first `nodes` nodes at once. */
void crash_and_restart_all (guint nodes, double down_s);
/* Returns a valid submission as JSON text with one field replaced by a JSON value or (NULL)
 * removed. The caller frees it with free(). */
char *job_json_with (const char *field, const char *value);
