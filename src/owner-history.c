#include "owner-history.h"

static gboolean
is_known_node (const KrSettings *settings, const char *name)
{
  return name && (g_str_equal (name, settings->node_name) || kr_settings_peer (settings, name));
}

/* Returns NULL if the array is malformed or names an unknown node. */
static GPtrArray *
parse_node_names (json_t *names, const KrSettings *settings)
{
  g_autoptr (GPtrArray) parsed = g_ptr_array_new_with_free_func (g_free);
  json_t *name;
  size_t i;

  if (!json_is_array (names))
    return NULL;
  json_array_foreach (names, i, name)
  {
    if (!is_known_node (settings, json_string_value (name)))
      return NULL;
    g_ptr_array_add (parsed, g_strdup (json_string_value (name)));
  }
  return g_steal_pointer (&parsed);
}

void
kr_owner_history_update (KrOwnerHistory *history, json_t *value, guint64 revision,
                         const KrSettings *settings)
{
  const char *holder = json_string_value (json_object_get (value, "Holder"));
  json_t *earlier = json_object_get (value, "Earlier");

  if (revision <= history->revision)
    return;
  g_free (history->holder);
  g_clear_pointer (&history->earlier_owners, g_ptr_array_unref);
  history->revision = revision;
  history->holder = is_known_node (settings, holder) ? g_strdup (holder) : NULL;
  history->all_fenced = history->holder && json_is_true (json_object_get (value, "Settled"));
  /* Once all machines have been fenced there are no earlier owners. A value written by an older
   * version leaves the field out then. */
  if (history->all_fenced && !earlier)
    history->earlier_owners = g_ptr_array_new_with_free_func (g_free);
  else if (history->holder)
    history->earlier_owners = parse_node_names (earlier, settings);
}

GPtrArray *
kr_owner_history_former_owners (const KrOwnerHistory *history)
{
  if (!history->holder || !history->earlier_owners)
    return NULL;
  GPtrArray *former = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (former, g_strdup (history->holder));
  for (guint i = 0; i < history->earlier_owners->len; i++)
    if (!g_ptr_array_find_with_equal_func (former, history->earlier_owners->pdata[i], g_str_equal,
                                           NULL))
      g_ptr_array_add (former, g_strdup (history->earlier_owners->pdata[i]));
  return former;
}

json_t *
kr_owner_history_takeover_value (const KrOwnerHistory *history, const char *node)
{
  g_autoptr (GPtrArray) former = kr_owner_history_former_owners (history);
  json_t *value = json_pack ("{ss sb}", "Holder", node, "Settled", 0);
  if (!former)
    return value;
  json_t *earlier = json_array ();
  /* The node itself is left out: the holder entry also covers its earlier processes. */
  for (guint i = 0; i < former->len; i++)
    if (!g_str_equal (former->pdata[i], node))
      json_array_append_new (earlier, json_string (former->pdata[i]));
  json_object_set_new (value, "Earlier", earlier);
  return value;
}

json_t *
kr_owner_history_value_without_earlier (const char *node, gboolean all_fenced)
{
  return json_pack ("{ss sb s[]}", "Holder", node, "Settled", all_fenced, "Earlier");
}
