/* Stand-ins for everything that a deployment's controllers talk to: the state service, the cloud, the workers and the
 * users, as the protocol describes them, and the controllers as processes. One process, one GLib main loop, the real
 * clock, loopback addresses only. Everything that is sent, answered and run is written to the record. */
#pragma once
#include <glib.h>
#include <jansson.h>
#include <libsoup/soup.h>

#define MAX_NODES 8

typedef struct {
  const char *name;
  double cpus, mem_gb, price, spot_price, ready_s;
  const char *zones[8]; /* ends with NULL */
} MachineType;

typedef struct {
  const char *name;
  double cpus, cpus_max;
} Team;

typedef struct {
  guint nodes;
  const char *zones[8];
  MachineType types[4];
  Team teams[8];
  double report_s, lease_s, cancel_s;
  double state_rps, state_write_rps, value_kb;
  guint txn_ops;
  double cloud_rps, list_lag_s;
  guint capacity_spot, capacity_on_demand; /* of each type and zone */
  double boot_s;                           /* time from the rental until the worker reports */
  double pull_s;                           /* time of an image fetch */
  double memory_mb;
  guint sockets;
  const char *objectives; /* tables of the settings file */
} Site;

typedef struct {
  char *id;
  guint index;
  guint64 attempt;
  const char *state, *why;
  gboolean saved;
  gint64 starts_at, ends_at; /* monotonic us */
} Task;

typedef struct {
  char *id, *endpoint, *rental;
  const MachineType *type;
  const char *zone;
  gboolean spot, up, gone, taken;
  gint64 rented_at, up_at, gone_at, listed_at;
  guint64 session, seq, token;
  gint64 lease_at; /* when the report was sent that got the last valid answer */
  gint64 next_report_at, last_report_at, report_sent_at, token_change_at;
  gboolean in_flight;
  guint node, port;
  GPtrArray *tasks;
  SoupServer *server;
  guint report_serial;
  /* faults */
  gboolean hangs, deaf, mute;
  double notice_until; /* seconds since the start; 0: none */
} Machine;

typedef struct {
  char *id;
  const char *team, *lane, *rank, *zone, *type; /* zone, type: NULL: any */
  guint tasks;
  double cpus, mem_gb, run_s;
  double *task_run_s; /* one for each task; NULL: run_s for all */
  double estimate_s, deadline_s, checkpoint_s, save_s;
  gboolean one_zone, apart, spot;
  gboolean fails;
  /* what the user knows */
  gboolean submitted, accepted, cancel_asked, cancelled, done;
  gint64 accepted_at, cancelled_at, done_at, last_answer_at, submitted_at;
  guint8 *completed;
  guint n_completed;
  gint64 completed_at, first_start_at;
  guint starts;
} Job;

typedef struct {
  gboolean alive, stopped;
  GPid pid;
  guint public_port, peer_port, state_port, cloud_port;
  SoupServer *state_server, *cloud_server;
  gboolean state_refused;                /* the state service answers this node alone with 503 */
  guint unanswered_probes, good_probes;  /* of the load balancer */
  gboolean healthy, ever_healthy;
  gint64 answered_at;                    /* when it last answered /ready, or was not meant to */
  double longest_silence_s;              /* the longest time for which /ready got no answer */
  double state_delay_s;                  /* of each answer to this node */
  char *settings, *log;
} Node;

extern Site site;
extern Node nodes[MAX_NODES];
extern GHashTable *machines; /* id -> Machine */
extern GHashTable *jobs;     /* id -> Job */
extern gboolean state_outage, cloud_outage;
extern guint violations;
extern guint long_lines; /* responses with a line longer than the protocol allows */
extern guint64 state_requests;
/* Shares: direct commands that are carried out 2 to 16 s late and unanswered; reports of which a copy arrives again
 * later, at any controller; reports that arrive 1 to 20 s late. */
extern double late_commands, copied_reports, late_reports;

/* Answers to a commit are held by this function: returns the seconds after which the transaction is carried out, or
 * a negative number to carry it out at once. drop_answer: the answer is lost. May be NULL. */
extern double (*commit_hook) (guint node, json_t *body, gboolean *drop_answer);
/* Called when a task starts. May be NULL. */
extern void (*start_hook) (Machine *machine, Task *task, Job *job);

/* The number of machines that the cloud has of a type, in a zone, of a kind; NULL: as in `site`. */
extern guint (*capacity_hook) (const MachineType *type, const char *zone, gboolean spot);

void platform_start (const char *record_path, int argc, char **argv);
void platform_end (void);
double now_s (void);
void rec (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Records that a rule was broken. */
void violation (const char *format, ...) G_GNUC_PRINTF (1, 2);
void run_for (double s);
gboolean run_until (gboolean (*pred) (gpointer), gpointer data, double timeout_s);

void node_start (guint node);
void node_kill (guint node);
void node_stop (guint node, gboolean on); /* SIGSTOP, SIGCONT */
gboolean all_ready (gpointer unused);
guint ready_count (void);
/* The owner of a shard as the state service has it, or -1; the leader: -1 as shard. */
int owner_of (int shard);

void set_state_outage (gboolean on);

Machine *machine_of_task (const char *job, guint index);
guint machines_up (void);
guint machines_rented (void);
/* Seconds since a controller last asked the cloud for machines. */
double seconds_since_rental (void);
/* A machine that is up, fits the job and has room for one more of its tasks; NULL: none. */
Machine *machine_with_room (const Job *job);
/* The cloud takes the machine back, without notice. */
void machine_take (Machine *machine);
/* Adds a machine that is up from the start. */
Machine *machine_add (const MachineType *type, const char *zone, gboolean spot, double boot_s);
void machine_hang (Machine *machine, gboolean on);

Job *job_new (const char *id, const char *team, guint tasks, double cpus, double mem_gb, double run_s);
json_t *job_body (const Job *job);
/* A user submits the job and repeats it until it is accepted, then polls it about every 5 s. */
void job_submit (Job *job);
/* The user cancels the job and repeats that until it is confirmed. */
void job_cancel (Job *job);
guint tasks_on_machines (const char *job);
/* One request of a user to one node. Returns the status, 0 without an answer; *body is to be freed by the caller. */
typedef void (*AnswerFunc) (guint status, json_t *body, gpointer data);
void request_async (guint node, const char *method, const char *path, json_t *body, double timeout_s, AnswerFunc func,
                    gpointer data);
guint request (guint node, const char *method, const char *path, json_t *body, double timeout_s, json_t **answer);
