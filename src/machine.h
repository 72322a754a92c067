/* Machines and what is on them, as their reports show it. No I/O: time is an argument. */
#pragma once
#include "job.h"
#include "wire.h"

typedef enum { KR_KILL_NONE, KR_KILL_GRACEFUL, KR_KILL_NOW } KrKill;

/* What shows that an attempt is surely not on its machine any more. */
typedef enum {
  KR_GONE_NONE,
  KR_GONE_NOT_REPORTED,  /* a report newer than its start does not show it */
  KR_GONE_NEW_SESSION,   /* the worker began a new session: its lease had run out */
  KR_GONE_LEASE_EXPIRED, /* the worker's lease is over by our own answers to it */
  KR_GONE_DELETED,       /* the cloud has deleted the machine */
  KR_GONE_MOVED,         /* the machine, empty, went to another part */
  KR_GONE_UNSENT         /* its place was held only, `run` never went out */
} KrGoneReason;
const char *kr_gone_reason_name (KrGoneReason gone);

/* One attempt of one task on one machine. */
typedef struct {
  char *job_id;
  guint task_index;
  guint64 attempt_id;
  KrTaskState state;
  KrExitReason exit_reason;
  guint64 sent_after_seq; /* in doubt until a beat newer than this one */
  gint64 running_since;   /* monotonic us: when it was seen running first; 0: not yet */
  gboolean adopted;       /* found on the machine: its start time is unknown */
  KrKill kill;
  gboolean preempt_protected; /* begins a job that had waited for long: it is not stopped soon */
  gboolean planned;           /* place held, `run` goes out with the machine's next report */
  /* part: the live job as whose task it counts (KrLiveJob), and its place there; NULL: exited, or
   * of no known job */
  gpointer live_job;
  guint live_index;
  struct KrMachine *machine; /* its machine */
  KrGoneReason gone_reason;  /* why it is surely gone, once it is */
} KrAttempt;

typedef struct KrMachine {
  char *id, *endpoint, *type, *zone;
  gboolean spot, has_reported; /* known: it has reported; type, zone and spot are valid */
  guint64 session, seq, token;
  guint64 report_seq;      /* of its newest report; `seq` may be that of a command's answer */
  gint64 last_report_at;   /* monotonic us of the newest report that we took */
  gint64 lease_renewed_at; /* monotonic us after which nobody has renewed its lease; 0: not known */
  gint64 reclaim_at;       /* monotonic us when the cloud takes it; 0: no notice */
  GPtrArray *attempts;
  gboolean must_fence; /* was used under an earlier owner, which may still command it */
  gboolean fenced;     /* has seen our token: nobody earlier can command it */
  /* part */
  gboolean used, use_pending; /* durable; to be made durable */
  gboolean drain, deleting, fencing;
  guint fence_failures;       /* to fence it, not answered */
  gboolean command_in_flight; /* a direct command to it is under way */
  gboolean command_again;     /* more has come to be killed meanwhile */
  guint failed_calls;         /* direct calls to it in a row */
  gint64 next_call_at;        /* monotonic us: no direct call to it before */
  gint64 delete_after; /* monotonic us: no deletion is asked for before; 0: none was refused */
  gint move_to;        /* part that it goes to when empty; -1: none */
  gboolean moving;     /* the move may be under way: nothing may start */
  gboolean move_outcome_unknown; /* its outcome is not known */
  guint64 chunk_revision;        /* revision of the record chunk that holds it */
  gint64 idle_since, joined_at;  /* monotonic us */
  gpointer pending_request;      /* KrRequest: its first report, answered once it is used */
  gint64 pending_since;          /* monotonic us */
  gint64 missing_since;          /* monotonic us: listed once, then not; 0: listed */
  gboolean listed;
  gint64 no_start_until;     /* monotonic us: no launches after an error, or after unheard ones */
  guint undelivered;         /* launches in a row that never appeared */
  double slowdown;           /* of its tasks' run times to their jobs' means, a moving average */
  guint slowdown_samples;    /* tasks in it */
  GHashTable *failed_jobs;   /* jobs whose tasks failed here */
  GHashTable *cached_images; /* images fetched here */
  char *reserved_for;        /* job for which room was made here */
  gint64 reserved_until;
} KrMachine;

typedef enum {
  KR_ATTEMPT_DISCOVERED,  /* an attempt that we did not know */
  KR_ATTEMPT_CONFIRMED,   /* a launch of ours is there; other news of it may follow */
  KR_ATTEMPT_UNDELIVERED, /* a launch of ours never came: once a report, GONE follows */
  KR_ATTEMPT_STARTED,     /* it runs now */
  KR_ATTEMPT_EXITED,      /* see launch->why */
  KR_ATTEMPT_GONE         /* it is surely not on the machine any more */
} KrAttemptEvent;
typedef void (*KrAttemptEventFunc) (KrMachine *machine, KrAttempt *attempt, KrAttemptEvent what,
                                    gpointer data);

KrMachine *kr_machine_new (const char *id);
void kr_machine_free (gpointer data);

/* What a report is to what is known of its machine. */
typedef enum {
  KR_REPORT_FRESH,     /* newer than all that was known: taken in */
  KR_REPORT_OVERTAKEN, /* not seen before, but an answer of /commands or /show was faster: nothing
                        changed, though its worker may be waiting for the answer */
  KR_REPORT_STALE      /* seen before, or of an earlier session: nobody waits for its answer */
} KrReportFreshness;

/* Takes a report in. `beat`: it came as a worker's report, not as an answer of /commands or /show:
 * only such a one settles doubt, since the worker sends the next only after it has taken or dropped
 * the response to the last. */
KrReportFreshness kr_machine_apply_report (KrMachine *machine, const KrReport *report,
                                           gboolean beat, guint64 token, gint64 now,
                                           KrAttemptEventFunc saw, gpointer data);
/* A direct call to it has ended: one that goes unanswered is followed by a growing pause. */
void kr_machine_note_call (KrMachine *machine, gboolean answered, gint64 now);
/* Everything on it is gone, for the reason given. */
void kr_machine_remove_attempts (KrMachine *machine, KrGoneReason gone, KrAttemptEventFunc saw,
                                 gpointer data);
/* Whether a lease that nobody has renewed since then has surely run out. */
gboolean kr_lease_expired (gint64 since, gint64 now, double lease_s);
/* Whether the worker's lease has surely run out since we last answered it. Only meaningful for a
 * machine that is fenced: no one else answers it. */
gboolean kr_machine_lease_expired (const KrMachine *machine, gint64 now, double lease_s);
KrAttempt *kr_machine_add_attempt (KrMachine *machine, const char *job, guint index,
                                   guint64 attempt_id);
void kr_attempt_free (gpointer data);
/* Seconds since it was seen running first; 0: not yet. */
double kr_attempt_run_time_s (const KrAttempt *attempt, gint64 now);
/* What is not exited, in doubt included. */
guint kr_machine_count_unfinished (const KrMachine *machine);
gint64 kr_seconds_to_us (double s); /* as us */
