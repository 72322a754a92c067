/* The state service's client: rate-limited calls, and a follower that keeps a prefix in view. */
#pragma once
#include "flow.h"
#include "http-client.h"
#include "settings.h"
#include "wire.h"

typedef struct KrState KrState;

KrState *kr_state_new (const KrSettings *settings);
void kr_state_free (KrState *state);

/* status 429: refused by our own limit or the service's, not executed; 0: unknown outcome.
 * `timeout_ms` counts from when the call is sent. Before that it waits for our own limit, for
 * KR_LIMIT_WAIT_MS at most, or, with KR_LAST, for timeout_ms. */
void kr_state_get (KrState *state, const char *key, KrTurn turn, guint timeout_ms,
                   GCancellable *cancel, KrReply reply, gpointer data);
/* All changes below a prefix after a revision, as they are when the request is carried out. */
void kr_state_changes (KrState *state, const char *prefix, guint64 after, guint timeout_ms,
                       GCancellable *cancel, KrReply reply, gpointer data);
/* Takes over `txn`. */
void kr_state_commit (KrState *state, KrTxn *txn, KrTurn turn, guint timeout_ms,
                      GCancellable *cancel, KrReply reply, gpointer data);
void kr_state_lease (KrState *state, guint64 lease, guint life_ms, GCancellable *cancel,
                     KrReply reply, gpointer data); /* lease 0: a new one */
/* Ends a lease at once, whoever has it: all keys on it vanish. 404: it had ended before. */
void kr_state_end_lease (KrState *state, guint64 lease, GCancellable *cancel, KrReply reply,
                         gpointer data);
/* Seconds since a call last failed (503, or no answer); very long if none has. */
double kr_state_trouble (KrState *state);
/* Seconds that a further write would wait now. */
double kr_state_write_wait (KrState *state);
/* Puts and deletes that leave no debt: what a full budget holds. */
guint kr_state_burst_writes (KrState *state);
/* Puts and deletes that may go out now for what can wait. */
guint kr_state_spare_writes (KrState *state);
/* Puts and deletes that wait for the limit now. */
double kr_state_waiting_writes (KrState *state);
/* Requests, and puts and deletes, a second that this node may make. */
void kr_state_set_rates (KrState *state, double requests, double writes);
/* Requests a second that this node may make now. */
double kr_state_request_rate (KrState *state);
/* Time since the service last answered anything but 503, in seconds; very long if it never did: a
 * node that has just started must not tell others that it is served. */
double kr_state_silence (KrState *state);

/* Reads a prefix whole, then follows its changes. After a gap it reads the prefix anew. */
typedef struct KrFollow KrFollow;
/* items: JSON array for kr_wire_item_parse; revision: all changes up to it are in there. */
typedef void (*KrFollowScan) (json_t *items, guint64 revision, gpointer data);
typedef void (*KrFollowEvent) (const KrItem *item, gpointer data);
KrFollow *kr_follow_new (KrState *state, const char *prefix, GCancellable *cancel,
                         KrFollowScan on_scan, KrFollowEvent on_event, gpointer data);
/* Drops what is under way and reads anew: the next on_scan began after this call. */
void kr_follow_rescan (KrFollow *follow);
/* Everything up to this revision has been shown; 0: a scan is under way. */
guint64 kr_follow_revision (const KrFollow *follow);
/* Stops until the next rescan. */
void kr_follow_stop (KrFollow *follow);
