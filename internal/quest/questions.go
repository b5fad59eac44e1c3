package quest

// groups is the questionnaire. KeyGrace has no default by design: the choice
// between serving callers and missing a withdrawal belongs to the team.
var groups = []Group{
	{Section: "Service", Title: "The service", Min: 1, Max: 1, Questions: []Question{
		{Key: "Name", kind: name, Text: "What is the service called?", Help: "Callers connect to this name. Lower-case letters, digits and hyphens, such as ledger-a."},
		{Key: "Slots", kind: count(1, 256), Text: "How many slots does each database server have?", Help: "A slot is a part of a server's connections that one VM owns. Ask whoever runs the servers."},
		{Key: "ConnectionsPerSlot", kind: count(1, 10000), Text: "How many connections may one slot have open?", Help: "Counted over all VMs. Servers refuse more."},
		{Key: "OpenTime", kind: duration, Text: "How long does opening a connection usually take?", Help: "Such as 10ms or 30ms."},
		{Key: "AckReplicas", kind: count(1, 7), Default: "1", Text: "How many replicas must hold a write before it is acknowledged?", Help: "At least 1; twice the number must stay below the number of servers. 1 fits 3 servers."},
		{Key: "MaxUnconfirmed", kind: duration, Default: "1s", Text: "From which confirmation delay are new writes refused?", Help: "When replicas lag by more, new writes are refused as not run instead of piling up."},
		{Key: "KeyGrace", kind: duration, Text: "How long do keys go on working in a data centre that is cut off?", Help: "A VM that is cut off may miss that a key was withdrawn. A longer time serves callers longer; a shorter one ends withdrawn keys sooner. 0s stops at once. There is no default: your team must choose."},
	}},
	{Section: "Account", Title: "The service's accounts at its database servers", Min: 1, Max: 1, Questions: []Question{
		{Key: "Database", kind: free, Text: "What is the database called?", Help: "The name on the servers, not the one that callers use."},
		{Key: "User", kind: free, Text: "Which account may write?", Help: "The proxy uses it for write routes. Callers never see it."},
		{Key: "Password", kind: free, Secret: true, Text: "What is the password of the account that may write?", Help: "Up to 256 characters on one line, not starting with a quotation mark."},
		{Key: "ReadUser", kind: free, Text: "Which account may only read?", Help: "Read routes use it, so that a caller cannot write there. It must be another account."},
		{Key: "ReadPassword", kind: free, Secret: true, Text: "What is the password of the account that may only read?", Help: "It must differ from the other password."},
	}},
	{Section: "Target", Title: "The database servers", Min: 3, Max: 15, Questions: []Question{
		{Key: "DataCentre", kind: name, Text: "In which data centre does the server stand?", Help: "Such as turku-1. Servers in several data centres survive the loss of one."},
		{Key: "Address", kind: address, Text: "What are the server's IP number and port?", Help: "Such as 10.1.0.5:5432. Names are not looked up."},
	}},
	{Section: "Route", Title: "The routes, ways to use the service", Min: 1, Max: 64, Questions: []Question{
		{Key: "Name", kind: name, Text: "What is the route called?", Help: "Callers connect to service/route, such as ledger-a/orders."},
		{Key: "Mode", kind: choice("Read", "Write"), Text: "Do transactions on this route read or write?", Help: "Read routes use replicas; a write there fails."},
		{Key: "MaxAge", kind: duration, Default: "0s", When: isRead, Text: "How old may the data be that reads see?", Help: "0s asks for the session's own writes. A few seconds let replicas answer more often."},
		{Key: "Repeatable", kind: yesNo, Default: "no", When: isRead, Text: "Does it do no harm to run a request twice?", Help: "Requests that may be repeated are retried after a failure."},
		{Key: "Open", kind: yesNo, Default: "no", Text: "Is the route open to callers without a key?", Help: "Such as a public catalog."},
		{Key: "OpenCustomer", kind: name, When: func(a map[string]string) bool { return a["Open"] == "yes" }, Text: "Which customer's rate counts requests without a key?", Help: "Name a customer of this questionnaire or an existing one."},
		{Key: "Deadline", kind: duration, Default: "5s", Text: "How long may a request take at most?", Help: "At most 60s. After it the caller gets a final answer."},
	}},
	{Section: "Customer", Title: "The customers", Min: 1, Max: 200, Questions: []Question{
		{Key: "ID", kind: name, Text: "What is the customer called?", Help: "Lower-case letters, digits and hyphens, such as school-a."},
		{Key: "Rate", kind: amount, Text: "How many requests a second may the customer send?", Help: "Counted over all VMs and all services. A customer that exists already keeps its rate; give the same number."},
		{Key: "Burst", kind: amount, Text: "How many requests may it send at once after a quiet time?", Help: "At least 1."},
		{Key: "Weight", kind: count(1, 1000), Default: "1", Text: "Which share of a loaded queue does it get, relative to others?", Help: "1 for an equal share."},
		{Key: "Keys", kind: keyList, Optional: true, Secret: true, Text: "Which keys does it have?", Help: "Pairs of a name and a SHA-256 digest, separated by commas, such as k1 2c26b4... . Never write the key itself. Leave it empty and grant keys later with: siskintray key grant."},
	}},
}

func isRead(answers map[string]string) bool { return answers["Mode"] == "Read" }
