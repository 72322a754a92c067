#include "state-list.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

struct KrStateList {
  KrStateClient *state;
  char *prefix;
  GCancellable *parent, *cancel; /* cancel: of the call in flight */
  KrStateListPageFunc on_page;
  gpointer data;
  gboolean active, malformed_logged;
  char *last_key;   /* the last key of the pages read so far; NULL: none read yet */
  guint64 revision; /* of the first page */
  guint64 pages_read;
  guint timer; /* until the next call; while a call is in flight: until it counts as lost */
};

/* A call in flight. It may end after the list has abandoned it. */
typedef struct {
  KrStateList *list;
  GCancellable *cancel;
} PageCall;

static void request_page (KrStateList *list);

/* Cancels the call in flight; its response will be ignored. */
static void
abandon_call (KrStateList *list)
{
  g_autoptr (GCancellable) cancel = g_steal_pointer (&list->cancel);
  if (cancel)
    g_cancellable_cancel (cancel);
}

static gboolean
retry_due (gpointer data)
{
  KrStateList *list = data;
  list->timer = 0;
  request_page (list);
  return G_SOURCE_REMOVE;
}

static void
retry_page (KrStateList *list)
{
  kr_timer_clear (&list->timer);
  list->timer = kr_timer_add (KR_STATE_RETRY_MS, retry_due, list);
}

/* Guards against a call whose end is never reported: the prefix would never be read again. */
static gboolean
call_lost (gpointer data)
{
  KrStateList *list = data;
  list->timer = 0;
  kr_info ("state: the end of a read of %s was never reported, reading again", list->prefix);
  abandon_call (list);
  retry_page (list);
  return G_SOURCE_REMOVE;
}

/* Returns whether each item can be parsed, their keys follow those of the earlier pages, and a page
 * that is not the last has at least one. *last_key: the key of the last item; NULL: none. */
static gboolean
is_valid_page (const KrStateList *list, json_t *items, gboolean more, const char **last_key)
{
  json_t *entry;
  size_t i;

  *last_key = NULL;
  if (!json_is_array (items))
    return FALSE;
  json_array_foreach (items, i, entry)
  {
    KrKeyValue item;
    const char *previous = *last_key ? *last_key : list->last_key;
    if (!kr_wire_key_value_parse (entry, &item) || g_strcmp0 (item.key, previous) <= 0)
      return FALSE;
    *last_key = item.key;
  }
  return !more || *last_key;
}

static void
handle_page (KrStateList *list, json_t *body)
{
  gboolean more;
  json_t *items = kr_wire_store_list_items (body, &more);
  const char *last_key;

  if (!is_valid_page (list, items, more, &last_key)) {
    if (!list->malformed_logged)
      kr_info ("state: a page of the list of %s is malformed, reading it again", list->prefix);
    list->malformed_logged = TRUE;
    retry_page (list);
    return;
  }
  list->pages_read++;
  if (!list->last_key)
    list->revision = kr_wire_revision (body);
  if (last_key) {
    g_free (list->last_key);
    list->last_key = g_strdup (last_key);
  }
  list->active = more;
  if (more)
    request_page (list);
  list->on_page (items, list->revision, !more, list->data);
}

static void
page_received (guint status, json_t *body, gpointer data)
{
  g_autofree PageCall *call = data;
  KrStateList *list = call->list;
  gboolean current = list->cancel == call->cancel;

  g_object_unref (call->cancel);
  if (!current || g_cancellable_is_cancelled (list->parent))
    return;
  g_clear_object (&list->cancel);
  kr_timer_clear (&list->timer);
  if (status == 200)
    handle_page (list, body);
  else
    retry_page (list);
}

static void
request_page (KrStateList *list)
{
  PageCall *call = g_new (PageCall, 1);
  list->cancel = kr_cancellable_new_child (list->parent);
  *call = (PageCall){ list, g_object_ref (list->cancel) };
  kr_timer_clear (&list->timer);
  list->timer = kr_timer_add (KR_STATE_TIMEOUT_MS + KR_WATCH_LOST_MS, call_lost, list);
  kr_state_list_page (list->state, list->prefix, list->last_key, list->cancel, page_received, call);
}

KrStateList *
kr_state_list_new (KrStateClient *state, const char *prefix, GCancellable *cancel,
                   KrStateListPageFunc on_page, gpointer data)
{
  KrStateList *list = g_new0 (KrStateList, 1);
  list->state = state;
  list->prefix = g_strdup (prefix);
  list->parent = kr_cancellable_new_child (cancel);
  list->on_page = on_page;
  list->data = data;
  return list;
}

void
kr_state_list_stop (KrStateList *list)
{
  kr_timer_clear (&list->timer);
  abandon_call (list);
  list->active = FALSE;
}

void
kr_state_list_start (KrStateList *list)
{
  kr_state_list_stop (list);
  g_clear_pointer (&list->last_key, g_free);
  list->malformed_logged = FALSE;
  list->active = TRUE;
  request_page (list);
}

gboolean
kr_state_list_is_active (const KrStateList *list)
{
  return list->active;
}

guint64
kr_state_list_pages_read (const KrStateList *list)
{
  return list->pages_read;
}
