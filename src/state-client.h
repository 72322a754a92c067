/* Client of the state service: rate-limited calls. */
#pragma once
#include "rate-limiter.h"
#include "http-client.h"
#include "settings.h"
#include "wire.h"

typedef struct KrStateClient KrStateClient;

KrStateClient *kr_state_new (const KrSettings *settings);
void kr_state_free (KrStateClient *state);

/* All calls pass an HTTP status to `callback`. 429: refused by this node's rate limit or by the
 * service, not executed; 0: the outcome is unknown. `timeout_ms` counts from the moment at which
 * the call is sent. Before that, the call waits for the rate limit, for at most
 * KR_LIMITER_WAIT_MAX_MS, or `timeout_ms` in class KR_QUEUE_LOW. If the rate limiter's queue is
 * full, `callback` is called with 429 before the function returns. */
void kr_state_get (KrStateClient *state, const char *key, KrQueueClass queue_class,
                   guint timeout_ms, GCancellable *cancel, KrHttpResponseFunc callback,
                   gpointer data);
/* Reads all changes of keys below a prefix that were made after the revision `after` and before the
 * service executes the call. */
void kr_state_changes (KrStateClient *state, const char *prefix, guint64 after, guint timeout_ms,
                       GCancellable *cancel, KrHttpResponseFunc callback, gpointer data);
/* Reads one page of the keys below a prefix: the first one, or the one after `after_key`. */
void kr_state_list_page (KrStateClient *state, const char *prefix, const char *after_key,
                         GCancellable *cancel, KrHttpResponseFunc callback, gpointer data);
/* Waits for changes below a prefix after the revision `after`, for at most KR_WATCH_HOLD_MS. */
void kr_state_follow (KrStateClient *state, const char *prefix, guint64 after, GCancellable *cancel,
                      KrHttpResponseFunc callback, gpointer data);
/* Takes ownership of `txn`. */
void kr_state_commit (KrStateClient *state, KrTxn *txn, KrQueueClass queue_class, guint timeout_ms,
                      GCancellable *cancel, KrHttpResponseFunc callback, gpointer data);
/* Renews a lease, or requests a new one if `lease` is 0. */
void kr_state_grant_or_renew_lease (KrStateClient *state, guint64 lease, guint ttl_ms,
                                    GCancellable *cancel, KrHttpResponseFunc callback,
                                    gpointer data);
/* Ends a lease at once, whichever node holds it; all keys bound to it are deleted. 404: the lease
 * had ended before. */
void kr_state_revoke_lease (KrStateClient *state, guint64 lease, GCancellable *cancel,
                            KrHttpResponseFunc callback, gpointer data);
/* Returns the seconds since a call last failed (503, or no answer); G_MAXINT if none has. */
double kr_state_seconds_since_failure (KrStateClient *state);
/* Returns the seconds that a further write would wait for the rate limit now. */
double kr_state_write_wait (KrStateClient *state);
/* Returns the number of puts and deletes that a full bucket allows at once. A larger transaction
 * leaves the bucket with a debt, which delays later writes. */
guint kr_state_write_burst (KrStateClient *state);
/* Returns the number of puts and deletes that may be sent now for work that can wait. */
guint kr_state_spare_writes (KrStateClient *state);
/* Returns the number of puts and deletes that are queued for the rate limit. */
double kr_state_queued_writes (KrStateClient *state);
/* Sets this node's rate limits: requests a second, and puts and deletes a second. */
void kr_state_set_rates (KrStateClient *state, double requests_per_s, double writes_per_s);
/* Returns the requests a second that this node may make now. */
double kr_state_request_rate (KrStateClient *state);
/* State of this node's limit for requests, for the log. */
KrRateLimiterStats kr_state_request_stats (KrStateClient *state);
/* Returns the seconds since the service last answered with anything but 503; G_MAXINT if it never
 * did, so that a node which has just started does not tell others that it reaches the service. */
double kr_state_seconds_since_answer (KrStateClient *state);
