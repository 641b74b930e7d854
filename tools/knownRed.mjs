// What KNOWN-RED.txt says, and whether a run of the tests agrees with it.

/** Reads the list: its entries, and what is wrong with it. */
export function readKnownRed(text) {
  const entries = [];
  const findings = [];
  text.split('\n').forEach((line, at) => {
    if (line.trim() === '' || line.startsWith('#')) return;
    const [name, command, seen, issue, ...more] = line.split('|').map((word) => word.trim());
    if (!name || !command || !seen || !issue || more.length > 0)
      findings.push(`line ${at + 1}: must be "test name | command and seed | what was seen | issue"`);
    else if (entries.some((entry) => entry.name === name)) findings.push(`line ${at + 1}: ${name} is there twice`);
    else entries.push({ name, command, seen, issue });
  });
  return { entries, findings };
}

/** Compares what ran, as `{ name, green }`, with the list: what was passed over, and everything that fails the run. */
export function judgeRun(ran, entries) {
  const passedOver = [];
  const findings = [];
  for (const entry of entries) {
    const named = ran.filter((one) => one.name === entry.name);
    if (named.length === 0) findings.push(`listed as red, but no such test ran: ${entry.name}`);
    else if (named.length > 1) findings.push(`listed as red, but ${named.length} tests have this name: ${entry.name}`);
    else if (named[0].green) findings.push(`listed as red, but green: ${entry.name}`);
    else passedOver.push(entry);
  }
  for (const { name, green } of ran) if (!green && !entries.some((entry) => entry.name === name)) findings.push(`red: ${name}`);
  return { passedOver, findings };
}
