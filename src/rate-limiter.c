#include "rate-limiter.h"
#include "clock.h"
#include "constants.h"

/* --- cancellables -------------------------------------------------------------------- */
static void
cancel_child (GCancellable *parent, gpointer child)
{
  g_cancellable_cancel (child);
}

GCancellable *
kr_cancellable_new_child (GCancellable *parent)
{
  GCancellable *child = g_cancellable_new ();
  if (parent)
    g_signal_connect_object (parent, "cancelled", G_CALLBACK (cancel_child), child, 0);
  return child;
}

/* --- bucket -------------------------------------------------------------------------- */
typedef struct {
  double cost;
  KrRateLimiterFunc go;
  gpointer data;
} Waiter;

struct KrRateLimiter {
  double rate, burst_s, burst, tokens;
  gint64 at;
  GQueue queue, last; /* last: goes when none of the others waits */
  guint timer;
};

KrRateLimiter *
kr_rate_limiter_new (double rate, double burst_s)
{
  KrRateLimiter *bucket = g_new0 (KrRateLimiter, 1);
  bucket->rate = rate;
  bucket->burst_s = burst_s;
  bucket->burst = bucket->tokens = MAX (1.0, rate * burst_s);
  bucket->at = kr_now ();
  g_queue_init (&bucket->queue);
  g_queue_init (&bucket->last);
  return bucket;
}

void
kr_rate_limiter_free (KrRateLimiter *bucket)
{
  kr_timer_clear (&bucket->timer);
  g_queue_clear_full (&bucket->queue, g_free);
  g_queue_clear_full (&bucket->last, g_free);
  g_free (bucket);
}

static void
refill (KrRateLimiter *bucket)
{
  gint64 now = kr_now ();
  bucket->tokens =
      MIN (bucket->burst, bucket->tokens + bucket->rate * (now - bucket->at) / G_USEC_PER_SEC);
  bucket->at = now;
}

double
kr_rate_limiter_rate (KrRateLimiter *bucket)
{
  return bucket->rate;
}

double
kr_rate_limiter_burst (KrRateLimiter *bucket)
{
  return bucket->burst;
}

double
kr_rate_limiter_spare (KrRateLimiter *bucket)
{
  refill (bucket);
  if (bucket->queue.length)
    return 0;
  double reserve = MAX (1, bucket->burst * KR_BURST_RESERVE_SHARE);
  return MAX (bucket->tokens >= bucket->burst ? 1 : 0, bucket->tokens - reserve);
}

double
kr_rate_limiter_queued_cost (KrRateLimiter *bucket)
{
  double cost = 0;
  for (GList *l = bucket->queue.head; l; l = l->next)
    cost += ((Waiter *) l->data)->cost;
  return cost;
}

double
kr_rate_limiter_wait_s (KrRateLimiter *bucket)
{
  refill (bucket);
  return MAX (0, kr_rate_limiter_queued_cost (bucket) - bucket->tokens) / bucket->rate;
}

static gboolean serve (gpointer data);

static GQueue *
next_queue (KrRateLimiter *bucket)
{
  return bucket->queue.length ? &bucket->queue : &bucket->last;
}

static void
arm (KrRateLimiter *bucket)
{
  Waiter *w = g_queue_peek_head (next_queue (bucket));
  if (!w || bucket->timer)
    return;
  /* A call dearer than the burst waits for a full bucket and leaves a debt. */
  double missing = MAX (0, MIN (w->cost, bucket->burst) - bucket->tokens);
  bucket->timer =
      kr_timer_add (MAX (1, (guint) (missing / bucket->rate * 1000) + 1), serve, bucket);
}

static gboolean
serve (gpointer data)
{
  KrRateLimiter *bucket = data;
  Waiter *w;
  bucket->timer = 0;
  refill (bucket);
  while ((w = g_queue_peek_head (next_queue (bucket))) &&
         bucket->tokens >= MIN (w->cost, bucket->burst)) {
    g_queue_pop_head (next_queue (bucket));
    bucket->tokens -= w->cost;
    w->go (TRUE, w->data);
    g_free (w);
  }
  arm (bucket);
  return G_SOURCE_REMOVE;
}

void
kr_rate_limiter_set_rate (KrRateLimiter *bucket, double rate)
{
  if (rate == bucket->rate)
    return;
  refill (bucket);
  bucket->rate = rate;
  bucket->burst = MAX (1.0, rate * bucket->burst_s);
  kr_timer_clear (&bucket->timer);
  arm (bucket);
}

void
kr_rate_limiter_acquire (KrRateLimiter *bucket, double cost, KrQueueClass turn,
                         KrRateLimiterFunc go, gpointer data)
{
  GQueue *queue = turn == KR_QUEUE_LOW ? &bucket->last : &bucket->queue;
  refill (bucket);
  if ((turn == KR_QUEUE_HIGH || (bucket->queue.length == 0 && queue->length == 0)) &&
      bucket->tokens >= MIN (cost, bucket->burst)) {
    bucket->tokens -= cost;
    go (TRUE, data);
    return;
  }
  if (queue->length >= MAX (KR_LIMITER_QUEUE_MIN, bucket->rate * KR_LIMITER_QUEUE_S) &&
      turn != KR_QUEUE_HIGH) {
    go (FALSE, data);
    return;
  }
  Waiter *w = g_new (Waiter, 1);
  *w = (Waiter){ cost, go, data };
  if (turn == KR_QUEUE_HIGH)
    g_queue_push_head (queue, w);
  else
    g_queue_push_tail (queue, w);
  kr_timer_clear (&bucket->timer);
  arm (bucket);
}

static gboolean
leave_queue (GQueue *queue, gpointer data)
{
  for (GList *l = queue->head; l; l = l->next) {
    if (((Waiter *) l->data)->data != data)
      continue;
    g_free (l->data);
    g_queue_delete_link (queue, l);
    return TRUE;
  }
  return FALSE;
}

void
kr_rate_limiter_cancel (KrRateLimiter *bucket, gpointer data)
{
  if (!leave_queue (&bucket->queue, data))
    leave_queue (&bucket->last, data);
}
