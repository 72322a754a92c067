/* Token-bucket rate limiter with a bounded queue, and cancellables that follow a parent. */
#pragma once
#include <gio/gio.h>

/* Returns a new cancellable that is cancelled together with `parent`, which may be NULL. The caller
 * owns the reference. */
GCancellable *kr_cancellable_new_child (GCancellable *parent);

/* --- rate limiter -------------------------------------------------------------------- */
typedef struct KrRateLimiter KrRateLimiter;
/* granted: TRUE if the cost was spent; FALSE if the queue was full. */
typedef void (*KrRateLimiterFunc) (gboolean granted, gpointer data);
/* `rate`: cost that may be spent per second. The bucket holds the unused rate of at most `burst_s`
 * seconds, but always at least a cost of 1. */
KrRateLimiter *kr_rate_limiter_new (double rate, double burst_s);
/* Drops the queued calls; their functions are not called. */
void kr_rate_limiter_free (KrRateLimiter *limiter);
/* Changes the rate, e.g. because the node's load has changed. Queued calls are served at the new
 * rate. */
void kr_rate_limiter_set_rate (KrRateLimiter *limiter, double rate);
typedef enum {
  KR_QUEUE_NORMAL, /* in order of arrival */
  KR_QUEUE_HIGH,   /* ahead of all others: leases, ownership, ends of jobs */
  KR_QUEUE_LOW     /* only when no other call waits: users' polls, whose number is not bounded */
} KrQueueClass;
/* Calls func(TRUE) once `cost` may be spent, which may be at once; calls func(FALSE) at once if the
 * queue is full. Calls of class high are never refused. */
void kr_rate_limiter_acquire (KrRateLimiter *limiter, double cost, KrQueueClass queue_class,
                              KrRateLimiterFunc func, gpointer data);
/* Removes the queued call with this `data`; its function is not called. */
void kr_rate_limiter_cancel (KrRateLimiter *limiter, gpointer data);
/* State of the queues, for the log. Class high counts as normal. */
typedef struct {
  guint queued, queued_low;              /* calls that wait now */
  guint64 expired, expired_low, refused; /* since the start: cancelled; queue was full */
} KrRateLimiterStats;
KrRateLimiterStats kr_rate_limiter_stats (KrRateLimiter *limiter);
double kr_rate_limiter_rate (KrRateLimiter *limiter);
double kr_rate_limiter_burst (KrRateLimiter *limiter);
/* Returns the cost that may be spent now on work that can wait. A reserve is kept for other calls;
 * if the bucket is full, the result is at least 1. It is 0 while calls of class normal or high are
 * queued. */
double kr_rate_limiter_spare (KrRateLimiter *limiter);
/* Returns the cost of all queued calls, without those of class low. */
double kr_rate_limiter_queued_cost (KrRateLimiter *limiter);
/* Returns the seconds until these calls have been served. */
double kr_rate_limiter_wait_s (KrRateLimiter *limiter);
