/* The state service's client: rate-limited calls, and a follower that keeps a prefix in view. */
#pragma once
#include "rate-limiter.h"
#include "http-client.h"
#include "settings.h"
#include "wire.h"

typedef struct KrStateClient KrStateClient;

KrStateClient *kr_state_new (const KrSettings *settings);
void kr_state_free (KrStateClient *state);

/* status 429: refused by our own limit or the service's, not executed; 0: unknown outcome.
 * `timeout_ms` counts from when the call is sent. Before that it waits for our own limit, for
 * KR_LIMITER_WAIT_MAX_MS at most, or, with KR_QUEUE_LOW, for timeout_ms. */
void kr_state_get (KrStateClient *state, const char *key, KrQueueClass turn, guint timeout_ms,
                   GCancellable *cancel, KrHttpResponseFunc reply, gpointer data);
/* All changes below a prefix after a revision, as they are when the request is carried out. */
void kr_state_changes (KrStateClient *state, const char *prefix, guint64 after, guint timeout_ms,
                       GCancellable *cancel, KrHttpResponseFunc reply, gpointer data);
/* Takes over `txn`. */
void kr_state_commit (KrStateClient *state, KrTxn *txn, KrQueueClass turn, guint timeout_ms,
                      GCancellable *cancel, KrHttpResponseFunc reply, gpointer data);
void kr_state_grant_or_renew_lease (KrStateClient *state, guint64 lease, guint life_ms,
                                    GCancellable *cancel, KrHttpResponseFunc reply,
                                    gpointer data); /* lease 0: a new one */
/* Ends a lease at once, whoever has it: all keys on it vanish. 404: it had ended before. */
void kr_state_revoke_lease (KrStateClient *state, guint64 lease, GCancellable *cancel,
                            KrHttpResponseFunc reply, gpointer data);
/* Seconds since a call last failed (503, or no answer); very long if none has. */
double kr_state_seconds_since_failure (KrStateClient *state);
/* Seconds that a further write would wait now. */
double kr_state_write_wait (KrStateClient *state);
/* Puts and deletes that leave no debt: what a full budget holds. */
guint kr_state_write_burst (KrStateClient *state);
/* Puts and deletes that may go out now for what can wait. */
guint kr_state_spare_writes (KrStateClient *state);
/* Puts and deletes that wait for the limit now. */
double kr_state_queued_writes (KrStateClient *state);
/* Requests, and puts and deletes, a second that this node may make. */
void kr_state_set_rates (KrStateClient *state, double requests, double writes);
/* Requests a second that this node may make now. */
double kr_state_request_rate (KrStateClient *state);
/* Time since the service last answered anything but 503, in seconds; very long if it never did: a
 * node that has just started must not tell others that it is served. */
double kr_state_seconds_since_answer (KrStateClient *state);

/* Reads a prefix whole, then follows its changes. After a gap it reads the prefix anew. */
typedef struct KrWatch KrWatch;
/* items: JSON array for kr_wire_key_value_parse; revision: all changes up to it are in there. */
typedef void (*KrWatchListFunc) (json_t *items, guint64 revision, gpointer data);
typedef void (*KrWatchEventFunc) (const KrKeyValue *item, gpointer data);
KrWatch *kr_watch_new (KrStateClient *state, const char *prefix, GCancellable *cancel,
                       KrWatchListFunc on_scan, KrWatchEventFunc on_event, gpointer data);
/* Drops what is under way and reads anew: the next on_scan began after this call. */
void kr_watch_relist (KrWatch *follow);
/* Everything up to this revision has been shown; 0: a scan is under way. */
guint64 kr_watch_revision (const KrWatch *follow);
/* Stops until the next rescan. */
void kr_watch_stop (KrWatch *follow);
