/** Folders that bear the field's terms alone: the check on withdrawn words holds there. A folder is never taken off. */
export const doneFolders = ['packages/consensus/'];

/** Folders for which the linter's strict rules hold, on doc comments, lengths of functions and names. A folder is never taken off. */
export const strictFolders = [];
