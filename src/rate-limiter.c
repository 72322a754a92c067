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

/* --- rate limiter -------------------------------------------------------------------- */
typedef struct {
  double cost;
  KrRateLimiterFunc func;
  gpointer data;
} QueuedCall;

struct KrRateLimiter {
  double rate, burst_s, burst, tokens;
  gint64 refilled_at;      /* monotonic us */
  GQueue queue, low_queue; /* low_queue: served only while `queue` is empty */
  guint timer;
  KrRateLimiterStats stats; /* the queues' lengths are filled in on request */
};

KrRateLimiter *
kr_rate_limiter_new (double rate, double burst_s)
{
  KrRateLimiter *limiter = g_new0 (KrRateLimiter, 1);
  limiter->rate = rate;
  limiter->burst_s = burst_s;
  limiter->burst = limiter->tokens = MAX (1.0, rate * burst_s);
  limiter->refilled_at = kr_now ();
  g_queue_init (&limiter->queue);
  g_queue_init (&limiter->low_queue);
  return limiter;
}

void
kr_rate_limiter_free (KrRateLimiter *limiter)
{
  kr_timer_clear (&limiter->timer);
  g_queue_clear_full (&limiter->queue, g_free);
  g_queue_clear_full (&limiter->low_queue, g_free);
  g_free (limiter);
}

static void
refill (KrRateLimiter *limiter)
{
  gint64 now = kr_now ();
  limiter->tokens =
      MIN (limiter->burst,
           limiter->tokens + limiter->rate * (now - limiter->refilled_at) / G_USEC_PER_SEC);
  limiter->refilled_at = now;
}

KrRateLimiterStats
kr_rate_limiter_stats (KrRateLimiter *limiter)
{
  KrRateLimiterStats stats = limiter->stats;
  stats.queued = limiter->queue.length;
  stats.queued_low = limiter->low_queue.length;
  return stats;
}

double
kr_rate_limiter_rate (KrRateLimiter *limiter)
{
  return limiter->rate;
}

double
kr_rate_limiter_burst (KrRateLimiter *limiter)
{
  return limiter->burst;
}

double
kr_rate_limiter_spare (KrRateLimiter *limiter)
{
  refill (limiter);
  if (limiter->queue.length)
    return 0;
  double reserve = MAX (1, limiter->burst * KR_BURST_RESERVE_SHARE);
  return MAX (limiter->tokens >= limiter->burst ? 1 : 0, limiter->tokens - reserve);
}

double
kr_rate_limiter_queued_cost (KrRateLimiter *limiter)
{
  double cost = 0;
  for (GList *l = limiter->queue.head; l; l = l->next)
    cost += ((QueuedCall *) l->data)->cost;
  return cost;
}

double
kr_rate_limiter_wait_s (KrRateLimiter *limiter)
{
  refill (limiter);
  return MAX (0, kr_rate_limiter_queued_cost (limiter) - limiter->tokens) / limiter->rate;
}

static gboolean serve_queue (gpointer data);

static GQueue *
next_queue (KrRateLimiter *limiter)
{
  return limiter->queue.length ? &limiter->queue : &limiter->low_queue;
}

static void
start_timer (KrRateLimiter *limiter)
{
  QueuedCall *call = g_queue_peek_head (next_queue (limiter));
  if (!call || limiter->timer)
    return;
  /* A call that costs more than the burst waits for a full bucket and makes `tokens` negative. */
  double missing = MAX (0, MIN (call->cost, limiter->burst) - limiter->tokens);
  limiter->timer =
      kr_timer_add (MAX (1, (guint) (missing / limiter->rate * 1000) + 1), serve_queue, limiter);
}

static gboolean
serve_queue (gpointer data)
{
  KrRateLimiter *limiter = data;
  QueuedCall *call;
  limiter->timer = 0;
  refill (limiter);
  while ((call = g_queue_peek_head (next_queue (limiter))) &&
         limiter->tokens >= MIN (call->cost, limiter->burst)) {
    g_queue_pop_head (next_queue (limiter));
    limiter->tokens -= call->cost;
    call->func (TRUE, call->data);
    g_free (call);
  }
  start_timer (limiter);
  return G_SOURCE_REMOVE;
}

void
kr_rate_limiter_set_rate (KrRateLimiter *limiter, double rate)
{
  if (rate == limiter->rate)
    return;
  refill (limiter);
  limiter->rate = rate;
  limiter->burst = MAX (1.0, rate * limiter->burst_s);
  kr_timer_clear (&limiter->timer);
  start_timer (limiter);
}

void
kr_rate_limiter_acquire (KrRateLimiter *limiter, double cost, KrQueueClass queue_class,
                         KrRateLimiterFunc func, gpointer data)
{
  GQueue *queue = queue_class == KR_QUEUE_LOW ? &limiter->low_queue : &limiter->queue;
  refill (limiter);
  if ((queue_class == KR_QUEUE_HIGH || (limiter->queue.length == 0 && queue->length == 0)) &&
      limiter->tokens >= MIN (cost, limiter->burst)) {
    limiter->tokens -= cost;
    func (TRUE, data);
    return;
  }
  if (queue->length >= MAX (KR_LIMITER_QUEUE_MIN, limiter->rate * KR_LIMITER_QUEUE_S) &&
      queue_class != KR_QUEUE_HIGH) {
    limiter->stats.refused++;
    func (FALSE, data);
    return;
  }
  QueuedCall *call = g_new (QueuedCall, 1);
  *call = (QueuedCall){ cost, func, data };
  if (queue_class == KR_QUEUE_HIGH)
    g_queue_push_head (queue, call);
  else
    g_queue_push_tail (queue, call);
  kr_timer_clear (&limiter->timer);
  start_timer (limiter);
}

static gboolean
remove_from_queue (GQueue *queue, gpointer data)
{
  for (GList *l = queue->head; l; l = l->next) {
    if (((QueuedCall *) l->data)->data != data)
      continue;
    g_free (l->data);
    g_queue_delete_link (queue, l);
    return TRUE;
  }
  return FALSE;
}

void
kr_rate_limiter_cancel (KrRateLimiter *limiter, gpointer data)
{
  if (remove_from_queue (&limiter->queue, data))
    limiter->stats.expired++;
  else if (remove_from_queue (&limiter->low_queue, data))
    limiter->stats.expired_low++;
}
