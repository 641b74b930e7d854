/** Old names of commands, which run for one version more, and the present ones. */
export const renamedCommands: Readonly<Record<string, string>> = {
  setup: 'configuration',
  branches: 'quotas',
  duties: 'roles',
  lots: 'batches',
};
