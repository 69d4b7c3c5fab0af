package operator

// style is served as a file of its own, because the content security policy forbids inline styles.
const style = `body{font:15px/1.4 sans-serif;margin:1em auto;max-width:70em;padding:0 1em}
table{border-collapse:collapse;margin:.5em 0}
td,th{border:1px solid #999;padding:.2em .5em;text-align:left;vertical-align:top}
nav a{margin-right:1em}
fieldset{margin:.7em 0}
label{display:block;margin:.3em 0}
textarea{width:100%;font-family:monospace}
.bad{background:#fdd}
.good{background:#dfd}
pre{white-space:pre-wrap;overflow-wrap:anywhere}
`

// markup is the template of all pages of the console. html/template escapes every value.
const markup = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>shallotrun: {{.Title}}</title><link rel="stylesheet" href="/style.css"></head><body>
<nav><a href="/">In force</a>{{range .Sections}}<a href="/{{.Path}}">{{.Title}}</a>{{end}}<a href="/document">Document</a>{{.Person.Name}}</nav>
<h1>{{.Title}}</h1>
{{with .Message}}<p class="bad">{{.}}</p>{{end}}
{{with .Faults}}<ul class="bad">{{range .}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{with .Fleet}}
<h2>Failure domains</h2>
<table><tr><th>Failure domain</th><th>Revision</th><th>Since</th><th>By</th><th>Note</th><th>VMs</th><th>VMs that lag</th></tr>
{{range .Domains}}<tr{{if .Lagging}} class="bad"{{end}}><td>{{.Name}}</td><td>{{.Config.Revision}}</td><td>{{time .Config.Since}}</td><td>{{.Config.Author}}</td><td>{{.Config.Note}}</td><td>{{len .VMs}}</td>
<td>{{range .VMs}}{{if .Lagging}}{{.VM}} has {{.Config.Revision}}, last heard {{time .LastSeen}}<br>{{end}}{{end}}</td></tr>{{end}}</table>
<p>Newest revision {{.Newest.Revision}}.</p>
{{with .Refused}}<p class="bad">Revision {{.Revision}} was refused at {{time .At}}; the last valid one stays in force.</p><pre>{{.Reason}}</pre>{{end}}
{{end}}
{{with .Status}}<p>This VM: {{.VM}} in {{.Domain}}, {{if .Ready}}ready{{else}}not ready: {{.Reason}}{{end}}. The platform last answered {{.SinceReply}} ms ago.
{{with .Lease}}Lease: {{.Holder}}, number {{.FencingToken}}, until {{time .Until}}.{{end}}</p>{{end}}
{{if .Fleet}}<h2>Versions and roll-outs</h2>
<table><tr><th>Version</th><th>State</th><th>Share</th><th>Halted</th><th></th></tr>
{{range .Rollouts}}<tr{{if .Since}} class="bad"{{end}}><td>{{.Model}}@{{.Version}}</td><td>{{.State}}</td><td>{{if eq .State "canary"}}{{.Share}}%{{end}}</td>
<td>{{if .Since}}since {{time .Since}}: {{.Halt}}{{end}}</td>
<td>{{if $.CanChange}}<form method="post" action="/version"><input type="hidden" name="csrf" value="{{$.CSRF}}"><input type="hidden" name="model" value="{{.Model}}"><input type="hidden" name="version" value="{{.Version}}">
<button name="action" value="withdraw">Withdraw</button> <button name="action" value="drain">Drain</button></form>{{end}}</td></tr>{{end}}</table>
<details><summary>All entry VMs</summary><table><tr><th>VM</th><th>State</th><th>Revision</th><th>Since</th><th>Last heard</th></tr>
{{range .Fleet.Domains}}{{range .VMs}}<tr{{if .Lagging}} class="bad"{{end}}><td>{{.VM}}</td><td>{{.State}}</td><td>{{.Config.Revision}}</td><td>{{time .Config.Since}}</td><td>{{time .LastSeen}}</td></tr>{{end}}{{end}}</table></details>
<details><summary>Backend servers</summary><table><tr><th>Server</th><th>Pool</th><th>Failure domain</th><th>State</th></tr>
{{range .Status.Servers}}<tr><td>{{.Name}}</td><td>{{.Pool}}</td><td>{{.Domain}}</td><td>{{.State}}</td></tr>{{end}}</table></details>{{end}}
{{if .Theirs}}<h2>Changes of the other operators</h2><pre>{{range .Theirs}}{{.}}
{{end}}</pre>{{end}}
{{if .Ours}}<h2>{{if .Theirs}}Your change{{else}}Changes{{end}}</h2><pre>{{range .Ours}}{{.}}
{{end}}</pre>{{end}}
{{with .Both}}<p class="bad">Both changed: {{range .}}{{.}} {{end}}. Applying takes your value.</p>{{end}}
{{if and .Apply .CanChange}}<form method="post" action="/apply"><input type="hidden" name="csrf" value="{{.CSRF}}"><input type="hidden" name="revision" value="{{.Revision}}">
<input type="hidden" name="base" value="{{.Base}}"><input type="hidden" name="mine" value="{{.Mine}}">
<button>{{if .Theirs}}Apply your change on top of revision {{.Revision}}{{else}}Apply to revision {{.Revision}}{{end}}</button></form>{{end}}
{{if and .Theirs (not .Apply)}}<p>Both changes together are not valid. Your document:</p><textarea rows="20" readonly>{{.Mine}}</textarea>{{end}}
{{if or .Groups (eq .Title "Document")}}
<form method="post" action="/preview"><input type="hidden" name="csrf" value="{{.CSRF}}"><input type="hidden" name="revision" value="{{.Revision}}"><input type="hidden" name="base" value="{{.Base}}">
{{with .Section}}<input type="hidden" name="section" value="{{.Path}}"><p>{{.Help}}</p>{{else}}<textarea name="text" rows="40">{{.Text}}</textarea>{{end}}
{{range .Groups}}<fieldset><legend>{{.Title}}</legend>{{range $f := .Fields}}<label>{{.Label}}
{{if eq .Kind "list"}}<textarea name="{{.Name}}" rows="3">{{.Value}}</textarea>
{{else if eq .Kind "select"}}<select name="{{.Name}}">{{range .Options}}<option value="{{.}}"{{if eq . $f.Value}} selected{{end}}>{{if .}}{{.}}{{else}}(default){{end}}</option>{{end}}</select>
{{else if eq .Kind "check"}}<input type="checkbox" name="{{.Name}}" value="1"{{if .Checked}} checked{{end}}>
{{else if eq .Kind "number"}}<input name="{{.Name}}" inputmode="numeric" value="{{.Value}}">
{{else}}<input name="{{.Name}}" value="{{.Value}}">{{end}}</label>{{end}}</fieldset>{{end}}
{{if .CanChange}}<label>Note <input name="note" value="{{.Note}}"></label><button>Preview</button>{{end}}</form>{{end}}
</body></html>
`
