#include "owner-history.h"

static gboolean
is_node (const KrSettings *settings, const char *name)
{
  return name && (g_str_equal (name, settings->node_name) || kr_settings_peer (settings, name));
}

/* NULL: not known. */
static GPtrArray *
read_names (json_t *names, const KrSettings *settings)
{
  g_autoptr (GPtrArray) read = g_ptr_array_new_with_free_func (g_free);
  json_t *name;
  size_t i;

  if (!json_is_array (names))
    return NULL;
  json_array_foreach (names, i, name)
  {
    if (!is_node (settings, json_string_value (name)))
      return NULL;
    g_ptr_array_add (read, g_strdup (json_string_value (name)));
  }
  return g_steal_pointer (&read);
}

void
kr_owner_history_update (KrOwnerHistory *claim, json_t *value, guint64 revision,
                         const KrSettings *settings)
{
  const char *holder = json_string_value (json_object_get (value, "Holder"));
  json_t *earlier = json_object_get (value, "Earlier");

  if (revision <= claim->revision)
    return;
  g_free (claim->holder);
  g_clear_pointer (&claim->earlier_owners, g_ptr_array_unref);
  claim->revision = revision;
  claim->holder = is_node (settings, holder) ? g_strdup (holder) : NULL;
  claim->all_fenced = claim->holder && json_is_true (json_object_get (value, "Settled"));
  /* A settled claim has no earlier owners; that of an older node does not say so. */
  if (claim->all_fenced && !earlier)
    claim->earlier_owners = g_ptr_array_new_with_free_func (g_free);
  else if (claim->holder)
    claim->earlier_owners = read_names (earlier, settings);
}

GPtrArray *
kr_owner_history_former_owners (const KrOwnerHistory *claim)
{
  if (!claim->holder || !claim->earlier_owners)
    return NULL;
  GPtrArray *former = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (former, g_strdup (claim->holder));
  for (guint i = 0; i < claim->earlier_owners->len; i++)
    if (!g_ptr_array_find_with_equal_func (former, claim->earlier_owners->pdata[i], g_str_equal,
                                           NULL))
      g_ptr_array_add (former, g_strdup (claim->earlier_owners->pdata[i]));
  return former;
}

json_t *
kr_owner_history_takeover_value (const KrOwnerHistory *claim, const char *node)
{
  g_autoptr (GPtrArray) former = kr_owner_history_former_owners (claim);
  json_t *value = json_pack ("{ss sb}", "Holder", node, "Settled", 0);
  if (!former)
    return value;
  json_t *earlier = json_array ();
  for (guint i = 0; i < former->len; i++)
    if (!g_str_equal (former->pdata[i], node)) /* the holder stands for its earlier processes too */
      json_array_append_new (earlier, json_string (former->pdata[i]));
  json_object_set_new (value, "Earlier", earlier);
  return value;
}

json_t *
kr_owner_history_value_without_earlier (const char *node, gboolean settled)
{
  return json_pack ("{ss sb s[]}", "Holder", node, "Settled", settled, "Earlier");
}
