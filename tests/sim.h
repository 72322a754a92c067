/* A small world in simulated time for whole nodes: stand-ins of the state service, the cloud and
 * the workers by the published protocol, a network that can fail, and a plain checker of the rules.
 * It takes the place of clock.c, http-client.c and http-server.c: the nodes under test are
 * otherwise the real thing. */
#pragma once
#include "node.h"

typedef enum { SIM_LINK_UP, SIM_LINK_DROP, SIM_LINK_HOLD } SimLinkState;

typedef struct {
  guint nodes, machine_cpus;
  guint teams;       /* "team0", ...; as many as nodes at least */
  double team_limit; /* cpus_max of every team; 0: none */
  double report_s, lease_s, cancel_s;
  double spot_price;
  guint max_machines; /* that the cloud has at most */
  double value_kb, write_rps;
  double machine_poll_s;     /* between looks at a machine; 0: 50 ms */
  double duplicate_requests; /* share of the nodes' and users' requests that arrive once more, later
                                still */
  double duplicate_reports;  /* share of reports of which a copy comes late, from a second to a
                                minute */
  double image_pull_s;       /* that each task waits for its image */
  double clock_drift;        /* share by which the nodes' steady clocks run fast */
  guint zones;               /* "z0", "z1", ...; 0: one */
  double run_time_jitter;    /* a task runs up to this share longer or shorter than told */
  double boot_min_s, boot_max_s; /* until a machine is up; 0: 6 and 15 */
  gboolean poll_after_change;    /* after each acceptance and end users ask at all nodes within
                                    milliseconds */
} SimOptions;

void sim_start (guint32 seed, const SimOptions *options);
void sim_stop (void);
void sim_log_to_stderr (void); /* what the nodes log, with simulated time */
double sim_now (void);         /* s since the start */
void sim_run (double seconds);

/* Nodes are "n0", "n1", ...; the others "state", "cloud" and a machine's id. */
void sim_node_start (guint i);
void sim_node_kill (guint i);
/* It stands still, its clocks run on; what arrives meanwhile it finds when it goes on. */
void sim_node_pause (guint i, gboolean on);
/* Requests to its peers' address get no answer; its own requests do. */
void sim_node_drop_peer_requests (guint i, gboolean on);
/* What passes from one host to another; SIM_LINK_UP also lets out what was held. */
void sim_set_link (const char *from, const char *to, SimLinkState how);
void sim_set_link_both (const char *a, const char *b, SimLinkState how);
void sim_state_outage (gboolean on);
void sim_state_refuse_node (guint node, gboolean on);
/* It answers 503 when that node reads a prefix whole; all else is answered. */
void sim_state_refuse_range_reads (guint node, gboolean on);
/* The node's next n reads of a prefix never end for their caller, against what kr_http_client_call
 * promises. */
void sim_drop_range_reads (guint node, guint n);
/* Its answers take up to this much longer. */
void sim_state_delay (double seconds);
/* What its watches show arrives that much later; all else at once. */
void sim_watch_delay (double seconds);
/* That share of commits gets no answer and is carried out 2 to 12 s later, after newer ones. */
void sim_delay_commits (double share);
/* The next n commits are executed, but their answers are lost. */
void sim_drop_commit_responses (guint n);
/* The next n commits that put a key with that prefix get no answer and are carried out that much
 * later; how many of them are still to come. */
void sim_hold_commits (const char *prefix, guint n, double seconds);
guint sim_commits_left_to_hold (void);
/* That share of direct commands gets no answer and is carried out once, 2 to 16 s late, where token
 * and session still match. */
void sim_delay_commands (double share);
/* A report that each machine sent some ten seconds ago or more, also of machines that are gone,
 * reaches every node now. */
void sim_replay_old_reports (void);
void sim_machine_kill (const char *id);
void sim_machine_fail_tasks (const char *id, gboolean sick);
void sim_machine_slow_down (const char *id, double factor);
/* It stands still, its clocks run on; what is sent to it arrives when it goes on. */
void sim_machine_pause (const char *id, gboolean on);
/* It opens no connections; direct commands reach it and are answered. */
void sim_machine_stop_reports (const char *id, gboolean on);
/* Its next report takes that much longer to arrive; whether one is under way. */
void sim_delay_next_report (const char *id, double seconds);
gboolean sim_report_in_flight (const char *id);
/* When the report was sent from which its lease counts, in seconds since the start. */
double sim_lease_renewed_at (const char *id);
/* A machine that has a task of the job, or NULL. */
const char *sim_machine_of (const char *job);
/* The machine that runs most tasks, or NULL. */
const char *sim_busiest_machine (void);
/* The machine that runs fewest, but some, or NULL. */
const char *sim_least_busy_machine (void);
/* The longest that a machine that is up has been without, or has waited for, its first task. */
double sim_longest_wait_for_task (void);
/* Runs sent to a machine (NULL: to all) in answers that a cut dropped. */
guint sim_runs_lost (const char *id);
guint sim_machine_count (void);
/* The cloud answers nothing but 503. */
void sim_cloud_outage (gboolean on);
/* Machines rented from now on never come up. */
void sim_fail_boots (gboolean on);
/* The longest that one which is not up has been paid for, in seconds. */
double sim_longest_boot (void);
/* Names of those that are up, or of one zone (free with g_strfreev). */
char **sim_machine_names (const char *zone);
gboolean sim_machine_alive (const char *id);
guint sim_tasks_running (const char *job); /* NULL: of all jobs */

/* A user: submits (and repeats until accepted), polls every 5 s, checks every answer. */
void sim_submit (const char *id, const char *team, const char *rank, guint tasks, double cpus,
                 double run_s, double deadline_s);
/* The same, bound to one zone (whichever), or apart. */
typedef enum { SIM_ANYWHERE, SIM_ONE_ZONE, SIM_SPREAD } SimPlacement;
void sim_submit_placed (const char *id, const char *team, guint tasks, double cpus, double run_s,
                        SimPlacement placing);
/* Its user cancels it: aborts until that is confirmed, now and then polling or submitting again. */
void sim_cancel (const char *id);
/* Its tasks fail on every machine. */
void sim_job_fail_tasks (const char *id, gboolean on);
void sim_cancel_at (const char *id, guint node); /* the first time through that node */
void sim_poll_at (const char *id, guint node);   /* a further time, through that node */
/* What its user was told last: "", pending, running, done, cancelled. */
const char *sim_reported_state (const char *id);
gboolean sim_all_jobs_finished (void);
/* From now on there are no troubles: no accepted job may be without an answer for 75 s, wait for
 * 90 s while a machine that fits has room and its team is under its limit, or not begin within
 * 240 s. */
void sim_faults_over (void);
/* Every living node was asked whether it is ready, and every part looked at: 30 s after that. */
gboolean sim_liveness_checked (void);
/* One request to a node's public address; the answer's status (0: none) after up to 5 s. */
guint sim_request (guint node, const char *method, const char *path, const char *body);

/* The same without waiting, and how many such requests have had that answer so far. */
void sim_request_async (guint node, const char *method, const char *path, const char *body);
guint sim_response_count (guint status);
/* Requests that the state service has had so far. */
guint sim_state_request_count (void);
/* Leases that were ended by a request. */
guint sim_leases_revoked (void);

/* The same to its address for peers. */
guint sim_peer_request (guint node, const char *method, const char *path, const char *body);

/* Rules broken so far, as text; empty: none. */
const char *sim_violations (void);
/* Machines in all parts' records. */
guint sim_recorded_machines (void);
/* A key gets a value (JSON) that no node wrote. */
void sim_state_put (const char *key, const char *value);
/* A key vanishes from the state service; whether it is there. */
void sim_state_remove (const char *key);
gboolean sim_state_has (const char *key);
guint64 sim_state_revision (const char *key); /* 0: not there */
int sim_shard_owner (guint shard);            /* node that holds the part's key; -1: none */
guint sim_tasks_started (void);
/* Reports handled so far, and what walks over machines they cost. */
guint sim_reports_handled (guint64 *steps);
/* The most direct commands that were under way to one worker at once so far. */
guint sim_max_concurrent_commands (void);
/* Names in the deletions that the cloud has refused so far. */
guint sim_refused_deletions (void);
/* Seconds from its submission to its first task's start; -1: none yet. */
double sim_time_to_first_task (const char *id);
