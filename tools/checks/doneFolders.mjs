/** Folders that bear the field's terms alone: the check on withdrawn words holds there. A folder is never taken off. */
export const doneFolders = [
  'packages/consensus/',
  'packages/membership/',
  'packages/model/',
  'packages/runtime/',
  'packages/rate-limit/',
  'programs/store/',
  'programs/agent/',
  'programs/controller/',
  'programs/proxy/',
  'programs/pewterctl/',
];

/** Folders for which the linter's strict rules hold, on doc comments, lengths of functions and names. A folder is never taken off. */
export const strictFolders = [...doneFolders, 'platform/'];
