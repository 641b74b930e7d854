// The users' platform: its names stand in platform/ and deploy/ alone, where they are translated, and platform/ stays small.

/** The platform's sources, as a part of the lines of all programs and packages. */
const platformRatio = 0.1;
const fields = `MachineClass|InternalPorts|SeedPeers|BeatPeriodMs|DataDir|ContactMs|SettlingMs|StretchMs|RevertSlackMs
  ApplyMs|AckMs|DrainMs|CancelMs|Channels|Plants|PathPrefix|RouteKind|CutoffMs|SetpointMs|GapSetpointMs|RunSetpointMs|BacklogCap|RetainS|ConnLimit|CacheTokens
  Upsert|ProbePath|CallSeq|ColdLeftMs|BeatTarget|StartAfter|NextToken|HorizonS|PEWTERLANDING_SETTINGS`.replace(/\s+/g, '|');
const names = [
  new RegExp(`\\b(${fields})\\b`),
  /\/v1\/(config\/(replace|amend|read)|instances\/|retire\/|items\/|ready\b)/,
  /pewterlanding-(request-id|deadline|answer-seal|not-run|expect-|model|token-count|prompt-prefix|urgency|hold-ms|based-on|instance-id|weight)/i,
];
const judged = /\.(ts|js|mjs|md|json|toml|ya?ml|txt)$|^\.ci\//;
const exempt = /^(platform\/|deploy\/|docs\/platform\.md$|tools\/checks\/platformNames\.mjs$)/;

/** `files` is a map of path to text. */
export function platformNameFindings(files) {
  return [...files].flatMap(([file, text]) => {
    if (!judged.test(file) || exempt.test(file)) return [];
    return text.split('\n').flatMap((line, index) => {
      const match = names.map((name) => name.exec(line)).find((found) => found !== null);
      return match === undefined ? [] : [`${file}:${index + 1}: ${match[0]} is the platform's name`];
    });
  });
}

export function platformSizeFindings(files) {
  const linesOf = (pattern) =>
    [...files].filter(([file]) => pattern.test(file)).reduce((sum, [, text]) => sum + text.split('\n').length - 1, 0);
  const platform = linesOf(/^platform\/src\//);
  const product = linesOf(/^(programs|packages)\/[\w-]+\/src\//);
  if (platform <= product * platformRatio) return [];
  return [`platform/src: ${platform} lines, more than a tenth of the ${product} of programs and packages`];
}
